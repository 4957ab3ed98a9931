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
  getOwnerTableKey,
  ownedSlotsOf,
  type OwnerTable,
  type ReleasedSlot,
  releasedSlotsTaken,
  tryClaim,
  tryParseOwnerTable,
  tryRelease,
} from "./owner_table.ts";
import type { OwnedSlots } from "./types.ts";

/** Pause after a call that failed, in milliseconds. */
const RETRY_DELAY_MS = 1000;
/** Shortest time between two looks at the table, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1000;
/** Longest time between two looks while slots are free, in milliseconds. */
const FREE_SLOT_READ_INTERVAL_MS = 2000;
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
  readonly onConfirmed: (claims: OwnedSlots, requestedAt: number) => void;
  /** Called with slots that were taken from one who released them. */
  readonly onTaken: (slots: readonly ReleasedSlot[]) => void;
}

interface TableSnapshot {
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
  #listedNames: ReadonlySet<string> = new Set();
  #listReadAt = 0;
  #hasFreeSlots = true;
  #keyRevision = 0;
  #watchAbort = new AbortController();
  #isStopped = false;
  #isReadRequested = false;

  /**
   * Starts claiming at once: its machine's own slots, and its share of the free
   * ones as soon as the list tells how many share them.
   */
  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    if (!options.hasMachineList) this.#liveTargets = 1;
    this.#key = getOwnerTableKey(options.pool);
    void this.#keepClaiming();
  }

  /** Takes in the platform's list. */
  setVirtualMachines(virtualMachines: readonly VirtualMachine[]): void {
    this.#hasMachineList = true;
    this.#listReadAt = this.#options.monotonicNow();
    const present = virtualMachines.filter((virtualMachine) =>
      virtualMachine.state !== "gone"
    );
    this.#listedNames = new Set(
      present.map((virtualMachine) => virtualMachine.name),
    );
    for (const name of this.#listedNames) this.#goneSince.delete(name);
    const wasUnknown = this.#liveTargets === Number.POSITIVE_INFINITY;
    const live = virtualMachines.filter((virtualMachine) =>
      virtualMachine.role === "target" && virtualMachine.state === "live" &&
      virtualMachine.pool === this.#options.pool
    );
    this.#liveTargets = live.length;
    if (wasUnknown) this.readNow();
  }

  /** Reads the table now, before anything else. */
  readNow(): void {
    this.#isReadRequested = true;
    this.#watchAbort.abort();
    this.#watchAbort = new AbortController();
  }

  /** Gives back all slots; best effort. Returns how many. */
  async release(): Promise<number> {
    this.#isStopped = true;
    this.#watchAbort.abort();
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      const snapshot = await this.#tryRead();
      if (snapshot === undefined) return 0;
      const owned = ownedSlotsOf(snapshot.table, this.#options).slots.length;
      const wallNow = Date.now();
      const next = tryRelease(snapshot.table, { ...this.#options, wallNow });
      if (next === undefined) return 0;
      const result = await this.#options.service.compareAndSwap(this.#key, {
        value: JSON.stringify(next),
        expectedRevision: snapshot.keyRevision,
      });
      if (result.kind === "swapped") return owned;
    }
    return 0;
  }

  /** Claims no more. */
  stop(): void {
    this.#isStopped = true;
    this.#watchAbort.abort();
  }

  async #keepClaiming(): Promise<void> {
    while (!this.#isStopped) {
      const isSuccessful = await this.#readAndClaim();
      const delayMs = isSuccessful ? MIN_READ_INTERVAL_MS : RETRY_DELAY_MS;
      await sleep(delayMs, undefined, { ref: false });
      const shouldWatch = isSuccessful && !this.#isReadRequested &&
        !this.#isStopped;
      if (shouldWatch) await this.#waitForChange();
    }
  }

  async #readAndClaim(): Promise<boolean> {
    this.#isReadRequested = false;
    const requestedAt = this.#options.monotonicNow();
    const snapshot = await this.#tryRead();
    if (snapshot === undefined || this.#isStopped) {
      return snapshot !== undefined;
    }
    this.#keyRevision = snapshot.keyRevision;
    const next = tryClaim(snapshot.table, this.#createContext());
    if (next === undefined) {
      this.#reportConfirmed(snapshot.table, requestedAt);
      return true;
    }
    const result = await this.#options.service.compareAndSwap(this.#key, {
      value: JSON.stringify(next),
      expectedRevision: snapshot.keyRevision,
    });
    // After a lost reply the next look finds out whether it took effect.
    if (result.kind !== "swapped") return false;
    this.#keyRevision = result.revision;
    this.#reportConfirmed(next, requestedAt);
    const taken = releasedSlotsTaken(snapshot.table, next);
    if (taken.length > 0) this.#options.onTaken(taken);
    return true;
  }

  #reportConfirmed(table: OwnerTable, requestedAt: number): void {
    this.#hasFreeSlots = table.slots.some((slot) => slot.kind === "free");
    this.#options.onConfirmed(ownedSlotsOf(table, this.#options), requestedAt);
  }

  async #waitForChange(): Promise<void> {
    try {
      await this.#options.service.watch(this.#key, {
        knownRevision: this.#keyRevision,
        signal: this.#createWatchSignal(),
      });
    } catch {
      // The next look tells whether the service answers.
    }
  }

  /** Free slots become anybody's by time alone, so they are looked at often. */
  #createWatchSignal(): AbortSignal {
    const { signal } = this.#watchAbort;
    if (!this.#hasFreeSlots) return signal;
    return AbortSignal.any([
      signal,
      AbortSignal.timeout(FREE_SLOT_READ_INTERVAL_MS),
    ]);
  }

  async #tryRead(): Promise<TableSnapshot | undefined> {
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

  #createContext(): ClaimContext {
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
    if (!this.#hasMachineList || this.#listedNames.has(name)) return false;
    const { goneGraceMs } = this.#options;
    const goneSince = this.#goneSince.get(name);
    if (goneSince === undefined) {
      this.#goneSince.set(name, this.#listReadAt);
      return false;
    }
    return this.#listReadAt - goneSince >= goneGraceMs;
  }
}
