/**
 * The rank groups that an entry knows: the engines of each group, and its known state.
 *
 * @module
 */
import type { GroupLoad } from "../messages/formed_group_types.ts";
import { type GroupObservation, GroupState } from "./group_state.ts";
import type { ListedRank } from "./types.ts";

/** Tracks the rank groups that an entry knows. */
export class RankGroups {
  readonly #byName = new Map<string, GroupState>();
  /** Names of groups by the host and port of their ranks' engines. */
  readonly #nameByAddress = new Map<string, string>();
  /** Hosts and ports of the ranks that each group had when it last ran, by group name. */
  readonly #lastRunningRanks = new Map<string, readonly string[]>();
  /** Ids of the back ends that are listed as serving, by host and port. */
  #serving: ReadonlyMap<string, string> = new Map();
  /**
   * Ids of back ends that a rank of their group reported as lost. The group runs again
   * once it has formed without them.
   */
  readonly #lostIds = new Set<string>();

  /**
   * Adds the listed ranks of groups. A rank that is missing from the list is kept, as its
   * registration may have expired while the store was unavailable.
   */
  setRanks(ranks: readonly ListedRank[]): void {
    for (const { engineAddress, group } of ranks) {
      this.#nameByAddress.set(engineAddress, group);
    }
  }

  /** Replaces the ids of the back ends that are listed as serving, by host and port. */
  setServing(serving: ReadonlyMap<string, string>): void {
    this.#serving = serving;
    const listed = new Set(serving.values());
    for (const id of this.#lostIds) {
      if (!listed.has(id)) this.#lostIds.delete(id);
    }
  }

  /**
   * Records that a rank reported the loss of another rank, without which their group
   * stops.
   */
  recordLost(id: string): void {
    this.#lostIds.add(id);
  }

  /**
   * Whether each known rank of a group is listed as serving, and none was reported as
   * lost. A group runs only with all its ranks.
   */
  isComplete(name: string): boolean {
    return this.#ranksOf(name).every((address) => {
      const id = this.#serving.get(address);
      return id !== undefined && !this.#lostIds.has(id);
    });
  }

  #ranksOf(name: string): readonly string[] {
    const lastRunning = this.#lastRunningRanks.get(name);
    if (lastRunning !== undefined) return lastRunning;
    return [...this.#nameByAddress.keys()].filter((address) =>
      this.#nameByAddress.get(address) === name
    );
  }

  /** Records a decider's report on its group; returns whether the known state changed. */
  recordLoad(message: GroupLoad, now: number): boolean {
    const { group, loads, passMs, isOpen, ageMs, epoch } = message;
    const ranks = loads.map(({ engineAddress }) => engineAddress);
    for (const address of ranks) this.#nameByAddress.set(address, group);
    if (isOpen) this.#lastRunningRanks.set(group, ranks);
    const state = this.#getOrCreate(group);
    const load = loads.reduce(
      (sum, { running, queued }) => sum + running + queued,
      0,
    );
    state.backlog.record({ at: now, ageMs, passMs, load });
    state.capacity.record({ at: now, epoch, passMs, load });
    return this.observe(group, { isOpen, observedAt: now - ageMs });
  }

  /** Records an observation of a group; returns whether the known state changed. */
  observe(name: string, observation: GroupObservation): boolean {
    const hasChanged = this.#getOrCreate(name).observe(observation);
    if (hasChanged && observation.isOpen) this.#clearLost(name);
    return hasChanged;
  }

  /**
   * Clears the lost ranks of a group, as a group that runs has lost none of its ranks.
   */
  #clearLost(name: string): void {
    for (const address of this.#ranksOf(name)) {
      this.#lostIds.delete(this.#serving.get(address) ?? "");
    }
  }

  /** Returns the group of the engine at an address; undefined if none is known. */
  tryGroupAt(engineAddress: string): GroupState | undefined {
    const name = this.#nameByAddress.get(engineAddress);
    return name === undefined ? undefined : this.#getOrCreate(name);
  }

  #getOrCreate(name: string): GroupState {
    let group = this.#byName.get(name);
    if (group === undefined) {
      group = new GroupState(name);
      this.#byName.set(name, group);
    }
    return group;
  }
}
