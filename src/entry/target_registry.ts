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

/** Bounds of how slow a target is thought to be against its pool. */
const MAX_SLOWNESS = 10;

/** Differences up to this come and go with the load, and mean nothing. */
const USUAL_SLOWNESS = 2;

interface SlotClaim {
  readonly targetName: string;
  /** Version of the owner table in which the claim was made. */
  readonly version: number;
}

/** The targets that this entry knows. */
export class TargetRegistry {
  /** The rank groups that targets belong to. */
  readonly groups = new RankGroups();
  /** The targets that have said with an answer that they leave. */
  readonly leaving = new LeavingTargets();
  readonly #byName = new Map<string, TargetRecord>();
  readonly #byPool = new Map<string, TargetRecord[]>();
  /** Newest claim of each slot, by pool; kept when the claimant is lost. */
  readonly #claims = new Map<string, Map<number, SlotClaim>>();
  /** Back ends that are called directly, by host and port. */
  readonly #idByAddress = new Map<string, string>();
  #leavingNames: ReadonlySet<string> = new Set();
  #setLeavingNames: ReadonlySet<string> = new Set();
  #drainedDomains: ReadonlySet<string> = new Set();

  /** Every target that was ever connected and is still listed. */
  all(): IterableIterator<TargetRecord> {
    return this.#byName.values();
  }

  /** Whether no target is known. */
  get isEmpty(): boolean {
    return this.#byName.size === 0;
  }

  /** A target by name. */
  tryGet(name: string): TargetRecord | undefined {
    return this.#byName.get(name);
  }

  /** The targets of a pool that may be sent new work. */
  servingOf(pool: string): readonly TargetRecord[] {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.filter((target) => this.isServing(target));
  }

  /** Whether a target may be sent new work, as far as its leaving and drains go. */
  isServing(target: TargetRecord): boolean {
    return target.isServing && !this.leaving.has(target.name);
  }

  /** Whether targets of a pool are listed as serving though all of them said they leave. */
  isLeavingWhole(pool: string): boolean {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.some((target) => target.isServing) &&
      !targets.some((target) => this.isServing(target));
  }

  /** Whether all targets of a pool that would serve are in drained failure domains. */
  isDrainedWhole(pool: string): boolean {
    const targets = this.#byPool.get(pool) ?? [];
    return targets.some((target) => target.isHeldByDrain) &&
      !targets.some((target) => this.isServing(target));
  }

  /** A target was connected to. Its load and failures start anew. */
  connect(identity: TargetIdentity): TargetRecord {
    this.#remove(identity.name);
    const record = new TargetRecord(identity);
    record.setListedLeaving(this.#leavingNames.has(identity.name));
    record.setSetLeaving(this.#setLeavingNames.has(identity.name));
    record.setDrained(this.#drainedDomains.has(identity.failureDomain));
    this.#byName.set(identity.name, record);
    const pool = this.#byPool.get(identity.pool) ?? [];
    this.#byPool.set(identity.pool, [...pool, record]);
    return record;
  }

  /** The targets that leave by the operators' settings. */
  setLeavingBySettings(names: ReadonlySet<string>): void {
    this.#setLeavingNames = names;
    for (const record of this.#byName.values()) {
      record.setSetLeaving(names.has(record.name));
    }
  }

  /** The failure domains that operators drain; of targets listed later, too. */
  setDrained(failureDomains: ReadonlySet<string>): void {
    this.#drainedDomains = failureDomains;
    for (const record of this.#byName.values()) {
      record.setDrained(failureDomains.has(record.failureDomain));
    }
  }

  /** The platform's list was read. */
  setMachines(machines: readonly VirtualMachine[]): void {
    this.#leavingNames = new Set(
      machines.filter((machine) => machine.state !== "live")
        .map((machine) => machine.name),
    );
    const listed = new Set(machines.map((machine) => machine.name));
    for (const record of [...this.#byName.values()]) {
      record.setListedLeaving(this.#leavingNames.has(record.name));
      const isForgotten = !record.isConnected && !listed.has(record.name);
      if (isForgotten) this.#remove(record.name);
    }
  }

  /**
   * The back ends that are called directly were listed. An incarnation that is
   * missing takes no new work; its record stays until its requests have ended. Returns
   * those that are gone without a word that they leave.
   */
  setInstances(
    instances: readonly BackEndInstance[],
    now: number,
  ): readonly TargetRecord[] {
    const listed = new Set(instances.map(({ id }) => id));
    const served = [...this.#byName.values()]
      .filter((record) => !record.isListedLeaving);
    this.#idByAddress.clear();
    for (const instance of instances) {
      const isServing = instance.state === "serving";
      // One that started anew may be listed beside the one before it.
      if (isServing || !this.#idByAddress.has(instance.address)) {
        this.#idByAddress.set(instance.address, instance.id);
      }
      const record = this.#byName.get(instance.id) ??
        this.connect(identityOf(instance));
      record.setNow(now);
      record.setListedLeaving(instance.state === "leaving");
    }
    this.#joinGroups();
    this.groups.setServing(servingByAddress(instances));
    for (const record of [...this.#byName.values()]) {
      if (listed.has(record.name)) continue;
      record.setListedLeaving(true);
      if (record.ownInFlight === 0) this.#remove(record.name);
    }
    const superseded = this.#listSuperseded(instances);
    return served.filter(({ name }) =>
      !listed.has(name) || superseded.has(name)
    );
  }

  /** Incarnations whose address another one has that serves. */
  #listSuperseded(
    instances: readonly BackEndInstance[],
  ): ReadonlySet<string> {
    const superseded = instances.filter(({ id, address, state }) =>
      state === "leaving" && this.#idByAddress.get(address) !== id
    );
    return new Set(superseded.map(({ id }) => id));
  }

  /** The ranks of groups were listed. */
  setRanks(ranks: readonly ListedRank[]): void {
    this.groups.setRanks(ranks);
    this.#joinGroups();
  }

  /** A group's decider told how its ranks stand; whether that changed a belief. */
  setGroupLoad(message: GroupLoad, now: number): boolean {
    for (const { engineAddress, running, queued, pace } of message.loads) {
      const id = this.#idByAddress.get(engineAddress);
      const record = id && this.#byName.get(id);
      if (!record) continue;
      record.setReportedLoad(running + queued, now);
      record.setPace(pace);
    }
    const hasChanged = this.groups.noteLoad(message, now);
    this.#joinGroups();
    return hasChanged;
  }

  #joinGroups(): void {
    for (const [address, id] of this.#idByAddress) {
      const group = this.groups.tryGroupAt(address);
      if (group !== undefined) this.#byName.get(id)?.setGroup(group);
    }
  }

  /** Takes in the slots that a target says it owns. */
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
      const known = table.get(slot);
      if (known !== undefined && known.version > claims.version) continue;
      table.set(slot, { targetName: name, version: claims.version });
    }
  }

  /**
   * The target that owns a slot by the newest word heard; undefined when none
   * is known or it cannot be reached. Never a second-best owner.
   */
  tryOwner(pool: string, slot: number): TargetRecord | undefined {
    const claim = this.#claims.get(pool)?.get(slot);
    const owner = claim && this.#byName.get(claim.targetName);
    return owner?.isConnected ? owner : undefined;
  }

  /** Compares the targets of each pool with each other. */
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

/** Ids of the instances that serve, by host and port. */
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
  if (ratio < USUAL_SLOWNESS) return 1;
  return Math.min(MAX_SLOWNESS, ratio);
}
