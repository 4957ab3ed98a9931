/**
 * Maintains this target's claims in the owner table: reads the table, claims available
 * slots, and releases its slots when the target leaves.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import {
  type ClaimContext,
  createOwnerTable,
  getClaimedReleasedSlots,
  getOwnedSlots,
  getOwnerTableKey,
  type OwnerTable,
  type ReleasedSlot,
  tryClaim,
  tryParseOwnerTable,
  tryRelease,
} from "./owner_table.ts";
import type { OwnedSlots } from "./types.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 1000;
/** Minimum time between two reads of the table, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1000;
/** Maximum time between two reads while any slot is free, in milliseconds. */
const FREE_SLOT_READ_INTERVAL_MS = 2000;
const MAX_RELEASE_ATTEMPTS = 5;

/** Options of a {@link ClaimKeeper}. */
export interface ClaimKeeperOptions {
  readonly service: KeyValueService;
  readonly pool: string;
  /** Host and port of this target. */
  readonly address: SocketAddress;
  readonly targetName: string;
  readonly incarnation: string;
  /** Whether the platform provides a list of VMs; claiming a share then waits for it. */
  readonly hasMachineList: boolean;
  /** Milliseconds for which a VM must be gone before other targets claim its slots. */
  readonly goneGraceMs: number;
  /** Returns the milliseconds of a monotonic clock. */
  readonly monotonicNow: () => number;
  /** Called with the slots owned by this target and the time of the request for them. */
  readonly onConfirmed: (claims: OwnedSlots, requestedAt: number) => void;
  /** Called with newly claimed slots that another target had released. */
  readonly onTaken: (slots: readonly ReleasedSlot[]) => void;
}

interface TableSnapshot {
  readonly table: OwnerTable;
  readonly keyRevision: number;
}

/** Maintains this target's claims in the owner table. */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #key: string;
  readonly #goneSince = new Map<string, number>();
  /** Infinite until the list of VMs is read, so that the share of free slots is zero. */
  #liveTargets = Number.POSITIVE_INFINITY;
  #hasReadList = false;
  #listedNames: ReadonlySet<string> = new Set();
  #listReadAt = 0;
  #hasFreeSlots = true;
  #keyRevision = 0;
  #watchAbort = new AbortController();
  #isStopped = false;
  #isReadRequested = false;

  /**
   * Starts claiming immediately: first the slots of its own VM, and its share of the free
   * slots as soon as the list of VMs shows how many targets share them.
   */
  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    if (!options.hasMachineList) this.#liveTargets = 1;
    this.#key = getOwnerTableKey(options.pool);
    void this.#keepClaiming();
  }

  /** Processes the platform's list of VMs. */
  setVirtualMachines(virtualMachines: readonly VirtualMachine[]): void {
    this.#hasReadList = true;
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
    if (wasUnknown) this.requestRead();
  }

  /** Requests a read of the table without waiting for a change of it. */
  requestRead(): void {
    this.#isReadRequested = true;
    this.#watchAbort.abort();
    this.#watchAbort = new AbortController();
  }

  /** Tries to release all slots, and returns the number of released ones. */
  async release(): Promise<number> {
    this.#isStopped = true;
    this.#watchAbort.abort();
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      const snapshot = await this.#tryRead();
      if (snapshot === undefined) return 0;
      const ownedCount =
        getOwnedSlots(snapshot.table, this.#options).slots.length;
      const wallNow = Date.now();
      const next = tryRelease(snapshot.table, { ...this.#options, wallNow });
      if (next === undefined) return 0;
      const result = await this.#options.service.compareAndSwap(this.#key, {
        value: JSON.stringify(next),
        expectedRevision: snapshot.keyRevision,
      });
      if (result.kind === "swapped") return ownedCount;
    }
    return 0;
  }

  /** Stops claiming. */
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
    // If the response was lost, the next read shows whether the swap took effect.
    if (result.kind !== "swapped") return false;
    this.#keyRevision = result.revision;
    this.#reportConfirmed(next, requestedAt);
    const claimedSlots = getClaimedReleasedSlots(snapshot.table, next);
    if (claimedSlots.length > 0) {
      this.#options.onTaken(claimedSlots);
    }
    return true;
  }

  #reportConfirmed(table: OwnerTable, requestedAt: number): void {
    this.#hasFreeSlots = table.slots.some((slot) => slot.kind === "free");
    this.#options.onConfirmed(getOwnedSlots(table, this.#options), requestedAt);
  }

  async #waitForChange(): Promise<void> {
    try {
      await this.#options.service.watch(this.#key, {
        knownRevision: this.#keyRevision,
        signal: this.#createWatchSignal(),
      });
    } catch {
      // The next read shows whether the service responds.
    }
  }

  /**
   * Limits the watch while any slot is free: a target may claim such a slot after some
   * time, without a change of the table.
   */
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

  /** Returns whether all lists that were read in the grace period report a VM as gone. */
  #isGone(name: string): boolean {
    if (!this.#hasReadList || this.#listedNames.has(name)) return false;
    const { goneGraceMs } = this.#options;
    const goneSince = this.#goneSince.get(name);
    if (goneSince === undefined) {
      this.#goneSince.set(name, this.#listReadAt);
      return false;
    }
    return this.#listReadAt - goneSince >= goneGraceMs;
  }
}
