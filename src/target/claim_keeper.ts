/**
 * Keeps this target's claims in the owner table: reads it, claims what is free,
 * and releases on leaving.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import {
  type ClaimContext,
  createOwnerTable,
  ownedSlotsOf,
  type OwnerTable,
  ownerTableKey,
  type ReleasedSlot,
  releasedSlotsTaken,
  tryClaim,
  tryParseOwnerTable,
  tryRelease,
} from "./owner_table.ts";
import type { OwnedSlots } from "./types.ts";

/** Pause after a call that failed, in milliseconds. */
const RETRY_PAUSE_MS = 1000;
/** Shortest time between two looks at the table, in milliseconds. */
const LOOK_PAUSE_MS = 1000;
/** Longest time between two looks while slots are free, in milliseconds. */
const FREE_LOOK_MS = 2000;
const MAX_RELEASE_ATTEMPTS = 5;

/** Options of a {@link ClaimKeeper}. */
export interface ClaimKeeperOptions {
  readonly service: KeyValueService;
  readonly pool: string;
  /** Host and port of this target. */
  readonly address: string;
  readonly targetName: string;
  readonly incarnation: string;
  /** Whether there is a list to wait for. */
  readonly hasMachineList: boolean;
  /** Milliseconds for which a machine must be gone before it loses slots. */
  readonly goneGraceMs: number;
  /** Milliseconds of a monotonic clock. */
  readonly monotonicNow: () => number;
  /** Called with what the table says, and when it was asked for. */
  readonly onConfirmed: (claims: OwnedSlots, askedAt: number) => void;
  /** Called with slots that were taken from one who released them. */
  readonly onTaken: (slots: readonly ReleasedSlot[]) => void;
}

interface ReadTable {
  readonly table: OwnerTable;
  readonly keyRevision: number;
}

/** Keeps this target's claims in the owner table. */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #key: string;
  readonly #goneSince = new Map<string, number>();
  /** Before the list is read there may be any number of them. */
  #liveTargets = Number.POSITIVE_INFINITY;
  #hasMachineList = false;
  #listed: ReadonlySet<string> = new Set();
  #listReadAt = 0;
  #hasFreeSlots = true;
  #keyRevision = 0;
  #round = new AbortController();
  #isStopped = false;
  #isLookWanted = false;

  /**
   * Starts claiming at once: its machine's own slots, and its share of the free
   * ones as soon as the list tells how many share them.
   */
  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    if (!options.hasMachineList) this.#liveTargets = 1;
    this.#key = ownerTableKey(options.pool);
    void this.#follow();
  }

  /** Takes in the platform's list. */
  setMachines(machines: readonly VirtualMachine[]): void {
    this.#hasMachineList = true;
    this.#listReadAt = this.#options.monotonicNow();
    const present = machines.filter((machine) => machine.state !== "gone");
    this.#listed = new Set(present.map((machine) => machine.name));
    for (const name of this.#listed) this.#goneSince.delete(name);
    const wasUnknown = this.#liveTargets === Number.POSITIVE_INFINITY;
    const live = machines.filter((machine) =>
      machine.role === "target" && machine.state === "live" &&
      machine.pool === this.#options.pool
    );
    this.#liveTargets = live.length;
    if (wasUnknown) this.confirm();
  }

  /** Reads the table now, before anything else. */
  confirm(): void {
    this.#isLookWanted = true;
    this.#round.abort();
    this.#round = new AbortController();
  }

  /** Gives back all slots; best effort. Returns how many. */
  async release(): Promise<number> {
    this.#isStopped = true;
    this.#round.abort();
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      const read = await this.#tryRead();
      if (read === undefined) return 0;
      const owned = ownedSlotsOf(read.table, this.#options).slots.length;
      const wallNow = Date.now();
      const next = tryRelease(read.table, { ...this.#options, wallNow });
      if (next === undefined) return 0;
      const swap = await this.#options.service.compareAndSwap(this.#key, {
        value: JSON.stringify(next),
        expectedRevision: read.keyRevision,
      });
      if (swap.kind === "swapped") return owned;
    }
    return 0;
  }

  /** Claims no more. */
  stop(): void {
    this.#isStopped = true;
    this.#round.abort();
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const isAnswered = await this.#look();
      const pause = isAnswered ? LOOK_PAUSE_MS : RETRY_PAUSE_MS;
      await sleep(pause, undefined, { ref: false });
      const mayWait = isAnswered && !this.#isLookWanted && !this.#isStopped;
      if (mayWait) await this.#waitForChange();
    }
  }

  async #look(): Promise<boolean> {
    this.#isLookWanted = false;
    const askedAt = this.#options.monotonicNow();
    const read = await this.#tryRead();
    if (read === undefined || this.#isStopped) return read !== undefined;
    this.#keyRevision = read.keyRevision;
    const next = tryClaim(read.table, this.#context());
    if (next === undefined) {
      this.#confirmed(read.table, askedAt);
      return true;
    }
    const swap = await this.#options.service.compareAndSwap(this.#key, {
      value: JSON.stringify(next),
      expectedRevision: read.keyRevision,
    });
    // After a lost reply the next look finds out whether it took effect.
    if (swap.kind !== "swapped") return false;
    this.#keyRevision = swap.revision;
    this.#confirmed(next, askedAt);
    const taken = releasedSlotsTaken(read.table, next);
    if (taken.length > 0) this.#options.onTaken(taken);
    return true;
  }

  #confirmed(table: OwnerTable, askedAt: number): void {
    this.#hasFreeSlots = table.slots.some((slot) => slot.kind === "free");
    this.#options.onConfirmed(ownedSlotsOf(table, this.#options), askedAt);
  }

  async #waitForChange(): Promise<void> {
    try {
      await this.#options.service.watch(this.#key, {
        knownRevision: this.#keyRevision,
        signal: this.#watchSignal(),
      });
    } catch {
      // The next look tells whether the service answers.
    }
  }

  /** Free slots become anybody's by time alone, so they are looked at often. */
  #watchSignal(): AbortSignal {
    const { signal } = this.#round;
    if (!this.#hasFreeSlots) return signal;
    return AbortSignal.any([signal, AbortSignal.timeout(FREE_LOOK_MS)]);
  }

  async #tryRead(): Promise<ReadTable | undefined> {
    try {
      const entry = await this.#options.service.tryRead(this.#key);
      if (entry === undefined) {
        return { table: createOwnerTable(Date.now()), keyRevision: 0 };
      }
      const table = tryParseOwnerTable(entry.value);
      return table && { table, keyRevision: entry.revision };
    } catch {
      return undefined;
    }
  }

  #context(): ClaimContext {
    const { targetName, incarnation } = this.#options;
    return {
      targetName,
      incarnation,
      wallNow: Date.now(),
      liveTargets: this.#liveTargets,
      isGone: (name) => this.#isGone(name),
    };
  }

  /** Gone for the whole grace, by lists read throughout it. */
  #isGone(name: string): boolean {
    if (!this.#hasMachineList || this.#listed.has(name)) return false;
    const { goneGraceMs } = this.#options;
    const since = this.#goneSince.get(name);
    if (since === undefined) {
      this.#goneSince.set(name, this.#listReadAt);
      return false;
    }
    return this.#listReadAt - since >= goneGraceMs;
  }
}
