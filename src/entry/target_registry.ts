/**
 * The targets that this entry knows, by pool, and the owners of key slots.
 *
 * @module
 */
import type { ClaimsMessage } from "../messages/types.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { GroupLoad } from "../messages/formed_group_types.ts";
import { LeavingTargets } from "../policy/leaving_targets.ts";
import { RankGroups } from "./rank_groups.ts";
import { TargetRecord } from "./target_record.ts";
import type { ListedRank, TargetIdentity } from "./types.ts";

/**
 * Upper bound of the ratio of a target's time to first byte to the median of its pool.
 */
const MAX_SLOWNESS = 10;

/**
 * Ratio below which a target is not considered slow, as smaller ones vary with the load.
 */
const MIN_SIGNIFICANT_SLOWNESS = 2;

interface SlotClaim {
  readonly targetName: string;
  /** Version of the owner table in which the claim was made. */
  readonly version: number;
}

/** The targets that this entry knows. */
export class TargetRegistry {
  /** The rank groups that targets belong to. */
  readonly groups = new RankGroups();
  /** The targets that announced with an answer that they leave. */
  readonly leaving = new LeavingTargets();
  readonly #byName = new Map<string, TargetRecord>();
  readonly #byPool = new Map<string, TargetRecord[]>();
  /** Newest claim of each slot, by pool; kept when the claimant is lost. */
  readonly #claims = new Map<string, Map<number, SlotClaim>>();
  /** Ids of the back ends that are called directly, by host and port. */
  readonly #idByAddress = new Map<string, string>();
  #listedLeavingNames: ReadonlySet<string> = new Set();
  #leavingNamesBySettings: ReadonlySet<string> = new Set();
  #drainedDomains: ReadonlySet<string> = new Set();

  /** Returns the records of all known targets. */
  all(): IterableIterator<TargetRecord> {
    return this.#byName.values();
  }

  /** Whether no target is known. */
  get isEmpty(): boolean {
    return this.#byName.size === 0;
  }

  /** Returns a target by name; undefined if it is not known. */
  tryGet(name: string): TargetRecord | undefined {
    return this.#byName.get(name);
  }

  /** Returns the targets of a pool that may be sent new requests. */
  servingOf(pool: string): readonly TargetRecord[] {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.filter((target) => this.isServing(target));
  }

  /** Whether a target may be sent new requests: it neither leaves nor is drained. */
  isServing(target: TargetRecord): boolean {
    return target.isServing && !this.leaving.has(target.name);
  }

  /**
   * Whether all targets of a pool that are listed as serving announced that they leave.
   */
  isPoolLeaving(pool: string): boolean {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.some((target) => target.isServing) &&
      !targets.some((target) => this.isServing(target));
  }

  /**
   * Whether all targets of a pool that could serve otherwise are in drained failure
   * domains.
   */
  isPoolDrained(pool: string): boolean {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.some((target) => target.isExcludedByDrain) &&
      !targets.some((target) => this.isServing(target));
  }

  /** Adds a target that was connected to, with a new record without load or failures. */
  connect(identity: TargetIdentity): TargetRecord {
    this.#remove(identity.name);
    const record = new TargetRecord(identity);
    record.setListedLeaving(this.#listedLeavingNames.has(identity.name));
    record.setLeavingBySettings(
      this.#leavingNamesBySettings.has(identity.name),
    );
    record.setDrained(this.#drainedDomains.has(identity.failureDomain));
    this.#byName.set(identity.name, record);
    const pool = this.#byPool.get(identity.pool) ?? [];
    this.#byPool.set(identity.pool, [...pool, record]);
    return record;
  }

  /** Sets the names of the targets that the operators' settings mark as leaving. */
  setLeavingBySettings(names: ReadonlySet<string>): void {
    this.#leavingNamesBySettings = names;
    for (const record of this.#byName.values()) {
      record.setLeavingBySettings(names.has(record.name));
    }
  }

  /**
   * Sets the drained failure domains, which also apply to targets that are added later.
   */
  setDrained(failureDomains: ReadonlySet<string>): void {
    this.#drainedDomains = failureDomains;
    for (const record of this.#byName.values()) {
      record.setDrained(failureDomains.has(record.failureDomain));
    }
  }

  /** Applies the platform's list of VMs. */
  setVirtualMachines(virtualMachines: readonly VirtualMachine[]): void {
    this.#listedLeavingNames = new Set(
      virtualMachines.filter((virtualMachine) =>
        virtualMachine.state !== "live"
      )
        .map((virtualMachine) => virtualMachine.name),
    );
    const listed = new Set(
      virtualMachines.map((virtualMachine) => virtualMachine.name),
    );
    for (const record of [...this.#byName.values()]) {
      record.setListedLeaving(this.#listedLeavingNames.has(record.name));
      const isGone = !record.isConnected && !listed.has(record.name);
      if (isGone) this.#remove(record.name);
    }
  }

  /**
   * Applies a list of the back ends that are called directly. An incarnation that is
   * missing from it gets no new requests; its record is kept until its requests have
   * ended. Returns the targets that are gone without having announced that they leave.
   */
  setInstances(
    instances: readonly BackEndInstance[],
    now: number,
  ): readonly TargetRecord[] {
    const listed = new Set(instances.map(({ id }) => id));
    const listedBefore = [...this.#byName.values()]
      .filter((record) => !record.isListedLeaving);
    this.#idByAddress.clear();
    for (const instance of instances) {
      const isServing = instance.state === "serving";
      // A restarted instance may be listed together with its previous incarnation.
      if (isServing || !this.#idByAddress.has(instance.address)) {
        this.#idByAddress.set(instance.address, instance.id);
      }
      const record = this.#byName.get(instance.id) ??
        this.connect(identityOf(instance));
      record.setNow(now);
      record.setListedLeaving(instance.state === "leaving");
    }
    this.#assignGroups();
    this.groups.setServing(servingByAddress(instances));
    for (const record of [...this.#byName.values()]) {
      if (listed.has(record.name)) continue;
      record.setListedLeaving(true);
      if (record.ownInFlight === 0) this.#remove(record.name);
    }
    const superseded = this.#listSuperseded(instances);
    return listedBefore.filter(({ name }) =>
      !listed.has(name) || superseded.has(name)
    );
  }

  /**
   * Returns the ids of leaving instances whose address belongs to another instance now.
   */
  #listSuperseded(
    instances: readonly BackEndInstance[],
  ): ReadonlySet<string> {
    const superseded = instances.filter(({ id, address, state }) =>
      state === "leaving" && this.#idByAddress.get(address) !== id
    );
    return new Set(superseded.map(({ id }) => id));
  }

  /** Applies a list of the ranks of groups. */
  setRanks(ranks: readonly ListedRank[]): void {
    this.groups.setRanks(ranks);
    this.#assignGroups();
  }

  /** Applies a decider's report on its group; returns whether the known state changed. */
  setGroupLoad(message: GroupLoad, now: number): boolean {
    for (const { engineAddress, running, queued, pace } of message.loads) {
      const id = this.#idByAddress.get(engineAddress);
      const record = id && this.#byName.get(id);
      if (!record) continue;
      record.setReportedLoad(running + queued, now);
      record.setPace(pace);
    }
    const hasChanged = this.groups.recordLoad(message, now);
    this.#assignGroups();
    return hasChanged;
  }

  #assignGroups(): void {
    for (const [address, id] of this.#idByAddress) {
      const group = this.groups.tryGroupAt(address);
      if (group !== undefined) this.#byName.get(id)?.setGroup(group);
    }
  }

  /** Applies the key slots that a target claims to own. */
  setClaims(target: TargetRecord, claims: ClaimsMessage): void {
    const { pool, name } = target.identity;
    const table = this.#claims.get(pool) ?? new Map<number, SlotClaim>();
    this.#claims.set(pool, table);
    const slots = new Set(claims.slots);
    for (const [slot, claim] of table) {
      const isReleased = claim.targetName === name && !slots.has(slot) &&
        claim.version <= claims.version;
      if (isReleased) table.delete(slot);
    }
    for (const slot of slots) {
      const knownClaim = table.get(slot);
      if (knownClaim !== undefined && knownClaim.version > claims.version) {
        continue;
      }
      table.set(slot, { targetName: name, version: claims.version });
    }
  }

  /**
   * Returns the target that owns a slot by the newest claim; undefined if there is no
   * claim or its target is not connected. No other target is returned in its place.
   */
  tryOwner(pool: string, slot: number): TargetRecord | undefined {
    const claim = this.#claims.get(pool)?.get(slot);
    const owner = claim && this.#byName.get(claim.targetName);
    return owner?.isConnected ? owner : undefined;
  }

  /** Compares the times to first byte of the targets of each pool. */
  updateSlowness(now: number): void {
    for (const targets of this.#byPool.values()) {
      const median = medianOf(
        targets.flatMap((target) =>
          target.firstByteMs === undefined ? [] : [target.firstByteMs]
        ),
      );
      for (const target of targets) {
        target.setNow(now);
        target.setSlowness(slownessOf(target, median));
      }
    }
  }

  #remove(name: string): void {
    const record = this.#byName.get(name);
    if (record === undefined) return;
    this.#byName.delete(name);
    const { pool } = record.identity;
    const others = this.#byPool.get(pool) ?? [];
    this.#byPool.set(pool, others.filter((other) => other !== record));
  }
}

/** Returns the ids of the serving instances, by host and port. */
function servingByAddress(
  instances: readonly BackEndInstance[],
): ReadonlyMap<string, string> {
  const serving = instances.filter(({ state }) => state === "serving");
  return new Map(serving.map(({ address, id }) => [address, id]));
}

function identityOf(instance: BackEndInstance): TargetIdentity {
  const { id, pool, failureDomain, concurrency } = instance;
  return { name: id, incarnation: id, failureDomain, pool, concurrency };
}

function medianOf(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}

function slownessOf(
  target: TargetRecord,
  median: number | undefined,
): number {
  if (median === undefined || median <= 0) return 1;
  const ratio = (target.firstByteMs ?? median) / median;
  if (ratio < MIN_SIGNIFICANT_SLOWNESS) return 1;
  return Math.min(MAX_SLOWNESS, ratio);
}
