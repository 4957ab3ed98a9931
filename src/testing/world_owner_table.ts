/**
 * The owner table of a world under faults: targets read it, claim, release and hand over
 * key slots.
 *
 * @module
 */
import { getKeyFingerprint, getKeySlot } from "../core/idempotency_key.ts";
import type { LedgerSlotMessage } from "../messages/types.ts";
import {
  createOwnerTable,
  getClaimedReleasedSlots,
  getOwnedSlots,
  type OwnerTable,
  tryClaim,
  tryRelease,
} from "../target/owner_table.ts";
import {
  type RequestWorldModel,
  WORLD_EPOCH_MS,
} from "./request_world_model.ts";
import { nameOf } from "./world_targets.ts";

/** Milliseconds for which a machine must be gone before it loses its slots. */
export const GONE_GRACE_MS = 60_000;

/** Number of no entry's connection. */
const SUCCESSOR_LINK = -1;
const SERVICE = "/organisations/andamaq/services/confirm";

/** The owner table, and what targets do with it. */
export class WorldOwnerTable {
  /** Whether nobody can read or write the table now. */
  isDown = false;
  #table: OwnerTable = createOwnerTable(WORLD_EPOCH_MS);
  readonly #model: RequestWorldModel;

  /** No slot has an owner yet. */
  constructor(model: RequestWorldModel) {
    this.#model = model;
  }

  /** The slot of a key of this world's service. */
  slotOf(key: string): number {
    return getKeySlot(getKeyFingerprint({
      organisation: "andamaq",
      service: SERVICE,
      idempotencyKey: key,
    }));
  }

  /** The target that the owner table gives a key to. */
  ownerOf(key: string): number | undefined {
    const state = this.#table.slots[this.slotOf(key)];
    if (state?.kind !== "taken") return undefined;
    return this.#model.targets.findNumber(state.targetName);
  }

  /** A target reads the owner table, and later takes in what it read. */
  startLook(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused || this.isDown) return;
    process.read = { table: this.#table, askedAt: this.#model.now };
  }

  /** A target claims by what it read: compare-and-swap, then its own use. */
  finishLook(target: number): void {
    const process = this.#model.targets.get(target);
    const { read } = process;
    if (read === undefined || !process.isUp || process.isPaused) return;
    process.read = undefined;
    if (this.isDown) return;
    const owner = {
      targetName: nameOf(target),
      incarnation: String(process.incarnation),
    };
    const next = tryClaim(read.table, {
      ...owner,
      wallNow: WORLD_EPOCH_MS + this.#model.now,
      liveTargets: this.#model.targets.all.filter((one) =>
        one.goneAt === undefined
      )
        .length,
      isGone: (name) => this.#isGone(name),
    });
    if (next !== undefined) {
      if (this.#table.version !== read.table.version) return;
      this.#table = next;
      process.taken.push(...getClaimedReleasedSlots(read.table, next));
    }
    this.#model.toTarget(target, {
      kind: "claims_confirmed",
      now: this.#model.now,
      claims: getOwnedSlots(next ?? read.table, owner),
      requestedAt: read.askedAt,
    });
  }

  /** Reads the owner table and claims at once. */
  lookAtTable(target: number): void {
    this.startLook(target);
    this.finishLook(target);
  }

  /** A drained target gives back its slots, and waits for their new owners. */
  release(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused || !process.isDrained) return;
    if (this.isDown) return;
    const next = tryRelease(this.#table, {
      targetName: nameOf(target),
      incarnation: String(process.incarnation),
      wallNow: WORLD_EPOCH_MS + this.#model.now,
      address: nameOf(target),
    });
    if (next !== undefined) this.#table = next;
  }

  /** A new owner asks for the keys of one slot that it took. */
  handOver(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused) return;
    const taken = process.taken.shift();
    const from = this.#model.targets.findNumber(taken?.address);
    const old = this.#model.targets.all[from];
    if (taken === undefined || !old?.isUp || old.isPaused) return;
    const effects = old.reducer.reduce({
      kind: "hand_over_asked",
      now: this.#model.now,
      linkId: SUCCESSOR_LINK,
      slot: taken.slot,
    });
    for (const effect of effects) {
      const isHistory = effect.kind === "reply" &&
        effect.message.kind === "ledger_slot";
      if (!isHistory) {
        this.#model.performTarget(from, effect);
        continue;
      }
      this.#model.toTarget(target, {
        kind: "history_received",
        now: this.#model.now,
        history: effect.message as LedgerSlotMessage,
      });
    }
  }

  /** A new owner asks for the keys of all slots that it took. */
  handOverAll(target: number): void {
    while (this.#model.targets.get(target).taken.length > 0) {
      this.handOver(target);
    }
  }

  #isGone(name: string): boolean {
    const { targets, now } = this.#model;
    const process = targets.all[targets.findNumber(name)];
    const goneAt = process?.goneAt;
    return goneAt !== undefined && now - goneAt >= GONE_GRACE_MS;
  }
}
