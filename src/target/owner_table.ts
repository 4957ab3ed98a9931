/**
 * The owner table in the key-value service, which records the owner of each key slot,
 * and the rules for moving a slot.
 *
 * A slot moves only after its owner has released it, when its owner's VM runs a new
 * process, or when the platform has reported for long enough that the VM is gone. No slot
 * moves because of elapsed time alone, so owners keep their slots during an outage.
 *
 * @module
 */
import * as z from "zod";
import { SLOT_COUNT } from "../core/idempotency_key.ts";
import type { OwnedSlots } from "./types.ts";
import {
  SOCKET_ADDRESS_SCHEMA,
  type SocketAddress,
} from "../messages/socket_address.ts";

/** The slot has no owner. */
export interface FreeSlot {
  readonly kind: "free";
  /** Time since which the slot has had no owner, in wall-clock milliseconds. */
  readonly since: number;
  /** Whether the slot has never had an owner. */
  readonly isNew: boolean;
  /** Host and port of the target that released the slot and still knows its keys. */
  readonly releasedBy?: SocketAddress;
}

/** An incarnation of a target's process owns the slot. */
export interface TakenSlot {
  readonly kind: "taken";
  readonly targetName: string;
  readonly incarnation: string;
  /**
   * Time of the move to this owner in wall-clock milliseconds; 0 if the slot never had
   * another owner.
   */
  readonly movedAt: number;
}

/** State of a slot. */
export type SlotState = FreeSlot | TakenSlot;

/** Owners of all slots of one pool. */
export interface OwnerTable {
  readonly format: 1;
  /** Increases by one with each change. */
  readonly version: number;
  readonly slots: readonly SlotState[];
}

const TABLE_SCHEMA: z.ZodType<OwnerTable> = z.object({
  format: z.literal(1),
  version: z.number().int().nonnegative(),
  slots: z.array(z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("free"),
      since: z.number(),
      isNew: z.boolean(),
      releasedBy: SOCKET_ADDRESS_SCHEMA.optional(),
    }),
    z.object({
      kind: z.literal("taken"),
      targetName: z.string(),
      incarnation: z.string(),
      movedAt: z.number(),
    }),
  ])).length(SLOT_COUNT),
});

/** Milliseconds after which any target may claim a free slot, regardless of its share. */
export const UNRESTRICTED_CLAIM_DELAY_MS = 10_000;

/** The target that claims slots, and what it knows about the other targets. */
export interface ClaimContext {
  readonly targetName: string;
  readonly incarnation: string;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  /** Number of targets of the pool that are assumed to be live, including this one. */
  readonly liveTargets: number;
  /** Returns whether the platform has reported for long enough that a VM is gone. */
  isGone(targetName: string): boolean;
}

/** The target that releases its slots. */
export interface ReleaseContext {
  readonly targetName: string;
  readonly incarnation: string;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  /** Host and port at which its keys can be fetched until it exits. */
  readonly address: SocketAddress;
}

/** Returns the key of a pool's owner table in the key-value service. */
export function getOwnerTableKey(pool: string): string {
  return `lagoonwharf/owners/${pool}`;
}

/** Creates a table in which no slot has an owner. */
export function createOwnerTable(wallNow: number): OwnerTable {
  const slots = Array.from({ length: SLOT_COUNT }, (): SlotState => ({
    kind: "free",
    since: wallNow,
    isNew: true,
  }));
  return { format: 1, version: 0, slots };
}

/** Parses a table; returns undefined if its format is not supported. */
export function tryParseOwnerTable(text: string): OwnerTable | undefined {
  try {
    const parsed = TABLE_SCHEMA.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the slots that an incarnation of a target owns. */
export function getOwnedSlots(
  table: OwnerTable,
  owner: { readonly targetName: string; readonly incarnation: string },
): OwnedSlots {
  const slots = table.slots.flatMap((state, slot) => {
    const isOwn = state.kind === "taken" &&
      state.targetName === owner.targetName &&
      state.incarnation === owner.incarnation;
    return isOwn ? [{ slot, movedAt: state.movedAt }] : [];
  });
  return { version: table.version, slots };
}

/**
 * Returns the table in which the target has claimed all slots that it may claim, or
 * undefined if there are none.
 *
 * @example
 * ```ts
 * const next = tryClaim(table, context);
 * if (next !== undefined) await swap(next);
 * ```
 */
export function tryClaim(
  table: OwnerTable,
  context: ClaimContext,
): OwnerTable | undefined {
  const share = Math.ceil(SLOT_COUNT / Math.max(1, context.liveTargets));
  let ownedCount = getOwnedSlots(table, context).slots.length;
  let isChanged = false;
  const slots = table.slots.map((state) => {
    const movedAt = tryGetMoveTime(state, context, ownedCount < share);
    if (movedAt === undefined) return state;
    isChanged = true;
    ownedCount++;
    return createTakenSlot(context, movedAt);
  });
  if (!isChanged) return undefined;
  return { format: 1, version: table.version + 1, slots };
}

/**
 * Returns the table in which the target has released all its slots, or undefined if it
 * owns none.
 */
export function tryRelease(
  table: OwnerTable,
  context: ReleaseContext,
): OwnerTable | undefined {
  if (getOwnedSlots(table, context).slots.length === 0) return undefined;
  const slots = table.slots.map((state): SlotState => {
    const isOwn = state.kind === "taken" &&
      state.targetName === context.targetName &&
      state.incarnation === context.incarnation;
    if (!isOwn) return state;
    return {
      kind: "free",
      since: context.wallNow,
      isNew: false,
      releasedBy: context.address,
    };
  });
  return { format: 1, version: table.version + 1, slots };
}

/** Returns the slots that are released in `before` and claimed in `after`. */
export function getClaimedReleasedSlots(
  before: OwnerTable,
  after: OwnerTable,
): readonly ReleasedSlot[] {
  return before.slots.flatMap((state, slot) => {
    const isTaken = state.kind === "free" &&
      after.slots[slot]?.kind === "taken";
    if (!isTaken || state.releasedBy === undefined) return [];
    return [{ slot, address: state.releasedBy }];
  });
}

/** A released slot and the address of the target that still knows its keys. */
export interface ReleasedSlot {
  readonly slot: number;
  /** Host and port. */
  readonly address: SocketAddress;
}

function createTakenSlot(context: ClaimContext, movedAt: number): TakenSlot {
  return {
    kind: "taken",
    targetName: context.targetName,
    incarnation: context.incarnation,
    movedAt,
  };
}

/**
 * Returns the time of the move if the target claims the slot now, in wall-clock
 * milliseconds, or undefined if it may not claim the slot.
 */
function tryGetMoveTime(
  state: SlotState,
  context: ClaimContext,
  isBelowShare: boolean,
): number | undefined {
  if (state.kind === "free") {
    const isUnrestricted =
      context.wallNow - state.since >= UNRESTRICTED_CLAIM_DELAY_MS;
    if (!isBelowShare && !isUnrestricted) return undefined;
    return state.isNew ? 0 : state.since;
  }
  if (state.targetName === context.targetName) {
    const isOwn = state.incarnation === context.incarnation;
    return isOwn ? undefined : context.wallNow;
  }
  const mayTake = isBelowShare && context.isGone(state.targetName);
  return mayTake ? context.wallNow : undefined;
}
