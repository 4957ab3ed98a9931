/**
 * The table in the key-value service that says which target owns which key
 * slot, and the rules by which a slot moves.
 *
 * A slot moves only when its owner released it, when its owner's machine runs a
 * new process, or when the platform has said for long enough that the machine
 * is gone. Time alone moves nothing: in an outage owners simply go on.
 *
 * @module
 */
import * as z from "zod";
import { SLOT_COUNT } from "../core/idempotency_key.ts";
import type { OwnedSlots } from "./types.ts";

/** Nobody owns the slot. */
export interface FreeSlot {
  readonly kind: "free";
  /** Wall-clock milliseconds. */
  readonly since: number;
  /** Whether it never had an owner. */
  readonly isNew: boolean;
  /** Host and port of who released it and still knows its keys. */
  readonly releasedBy?: string;
}

/** One incarnation of a target's process owns the slot. */
export interface TakenSlot {
  readonly kind: "taken";
  readonly targetName: string;
  readonly incarnation: string;
  /** Wall-clock milliseconds; 0 when the slot never had another owner. */
  readonly movedAt: number;
}

/** Who owns a slot. */
export type SlotState = FreeSlot | TakenSlot;

/** Who owns which slot of one pool. */
export interface OwnerTable {
  readonly format: 1;
  /** Grows by one with each change. */
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
      releasedBy: z.string().optional(),
    }),
    z.object({
      kind: z.literal("taken"),
      targetName: z.string(),
      incarnation: z.string(),
      movedAt: z.number(),
    }),
  ])).length(SLOT_COUNT),
});

/** Milliseconds after which a free slot is anybody's, whatever their share. */
export const UNRESTRICTED_CLAIM_DELAY_MS = 10_000;

/** Who plans a claim, and what it knows. */
export interface ClaimContext {
  readonly targetName: string;
  readonly incarnation: string;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  /** Targets of the pool that are thought to live, this one among them. */
  readonly liveTargets: number;
  /** Whether the platform has said for long enough that a machine is gone. */
  isGone(targetName: string): boolean;
}

/** Who releases, and where its keys can be asked for until it ends. */
export interface ReleaseContext {
  readonly targetName: string;
  readonly incarnation: string;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  /** Host and port. */
  readonly address: string;
}

/** Key of a pool's table in the key-value service. */
export function getOwnerTableKey(pool: string): string {
  return `lagoonwharf/owners/${pool}`;
}

/** A table in which no slot has an owner. */
export function createOwnerTable(wallNow: number): OwnerTable {
  const slots = Array.from({ length: SLOT_COUNT }, (): SlotState => ({
    kind: "free",
    since: wallNow,
    isNew: true,
  }));
  return { format: 1, version: 0, slots };
}

/** Reads a table; undefined when this version cannot read it. */
export function tryParseOwnerTable(text: string): OwnerTable | undefined {
  try {
    const parsed = TABLE_SCHEMA.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** The slots that one incarnation of a target owns. */
export function ownedSlotsOf(
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
 * The table after this target has claimed what it may; undefined when there is
 * nothing to claim.
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
  let ownedCount = ownedSlotsOf(table, context).slots.length;
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

/** The table after this target has released what it owns. */
export function tryRelease(
  table: OwnerTable,
  context: ReleaseContext,
): OwnerTable | undefined {
  if (ownedSlotsOf(table, context).slots.length === 0) return undefined;
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

/** Slots that the next table gives to this target from one who released them. */
export function releasedSlotsTaken(
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

/** A slot and who still knows its keys. */
export interface ReleasedSlot {
  readonly slot: number;
  /** Host and port. */
  readonly address: string;
}

function createTakenSlot(context: ClaimContext, movedAt: number): TakenSlot {
  return {
    kind: "taken",
    targetName: context.targetName,
    incarnation: context.incarnation,
    movedAt,
  };
}

/** When the slot counts as moved if it is taken now; undefined: it may not. */
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
