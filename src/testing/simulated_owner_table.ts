/**
 * Simulates the owner table: targets read it, and claim, release and hand over key slots.
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
  type RequestSimulationModel,
  SIMULATION_START_MS,
} from "./request_simulation_model.ts";
import { getTargetName } from "./simulated_targets.ts";
import { createSocketAddress } from "./socket_addresses.ts";

/** Milliseconds for which a VM must be gone before it loses its slots. */
export const GONE_GRACE_MS = 60_000;

/** A connection id that no entry has. */
const SUCCESSOR_LINK_ID = -1;
const SERVICE = "/organisations/andamaq/services/confirm";

/** The owner table, with the actions of targets on it. */
export class SimulatedOwnerTable {
  /** Whether the table can be neither read nor written. */
  isDown = false;
  #table: OwnerTable = createOwnerTable(SIMULATION_START_MS);
  readonly #model: RequestSimulationModel;

  /** Creates a table in which no slot has an owner. */
  constructor(model: RequestSimulationModel) {
    this.#model = model;
  }

  /** Returns the slot of a key of the simulated service. */
  getSlot(key: string): number {
    return getKeySlot(getKeyFingerprint({
      organisation: "andamaq",
      service: SERVICE,
      idempotencyKey: key,
    }));
  }

  /** Returns the target that owns a key according to the table. */
  getOwner(key: string): number | undefined {
    const state = this.#table.slots[this.getSlot(key)];
    if (state?.kind !== "taken") return undefined;
    return this.#model.targets.findNumber(state.targetName);
  }

  /** Reads the owner table for a target, which processes it in {@link finishRead}. */
  startRead(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused || this.isDown) return;
    process.tableRead = { table: this.#table, askedAt: this.#model.now };
  }

  /**
   * Claims slots according to the table that was read: by compare-and-swap first, then in
   * the target.
   */
  finishRead(target: number): void {
    const process = this.#model.targets.get(target);
    const { tableRead } = process;
    if (tableRead === undefined || !process.isUp || process.isPaused) return;
    process.tableRead = undefined;
    if (this.isDown) return;
    const owner = {
      targetName: getTargetName(target),
      incarnation: String(process.incarnation),
    };
    const next = tryClaim(tableRead.table, {
      ...owner,
      wallNow: SIMULATION_START_MS + this.#model.now,
      liveTargets: this.#model.targets.all.filter((one) =>
        one.goneAt === undefined
      )
        .length,
      isGone: (name) => this.#isGone(name),
    });
    if (next !== undefined) {
      if (this.#table.version !== tableRead.table.version) return;
      this.#table = next;
      process.claimedSlots.push(
        ...getClaimedReleasedSlots(tableRead.table, next),
      );
    }
    this.#model.dispatchToTarget(target, {
      kind: "claims_confirmed",
      now: this.#model.now,
      claims: getOwnedSlots(next ?? tableRead.table, owner),
      requestedAt: tableRead.askedAt,
    });
  }

  /** Reads the owner table and claims slots immediately. */
  readAndClaim(target: number): void {
    this.startRead(target);
    this.finishRead(target);
  }

  /** Releases the slots of a drained target, which then waits for their new owners. */
  release(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused || !process.isDrained) return;
    if (this.isDown) return;
    const next = tryRelease(this.#table, {
      targetName: getTargetName(target),
      incarnation: String(process.incarnation),
      wallNow: SIMULATION_START_MS + this.#model.now,
      address: createSocketAddress(getTargetName(target)),
    });
    if (next !== undefined) this.#table = next;
  }

  /** Requests the keys of one slot that a new owner has claimed. */
  handOver(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused) return;
    const claimedSlot = process.claimedSlots.shift();
    const from = this.#model.targets.findNumber(claimedSlot?.address);
    const previousOwner = this.#model.targets.all[from];
    if (
      claimedSlot === undefined || !previousOwner?.isUp ||
      previousOwner.isPaused
    ) {
      return;
    }
    const effects = previousOwner.reducer.reduce({
      kind: "hand_over_asked",
      now: this.#model.now,
      linkId: SUCCESSOR_LINK_ID,
      slot: claimedSlot.slot,
    });
    for (const effect of effects) {
      const isHistory = effect.kind === "reply" &&
        effect.message.kind === "ledger_slot";
      if (!isHistory) {
        this.#model.performTargetEffect(from, effect);
        continue;
      }
      this.#model.dispatchToTarget(target, {
        kind: "history_received",
        now: this.#model.now,
        history: effect.message as LedgerSlotMessage,
      });
    }
  }

  /** Requests the keys of all slots that a new owner has claimed. */
  handOverAll(target: number): void {
    while (this.#model.targets.get(target).claimedSlots.length > 0) {
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
