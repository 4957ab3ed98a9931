/**
 * The rank groups that an entry knows: which engine belongs to which, and what is
 * believed of each.
 *
 * @module
 */
import type { GroupLoad } from "../messages/formed_group_types.ts";
import { GroupBelief, type GroupSight } from "./group_belief.ts";
import type { ListedRank } from "./types.ts";

/** The rank groups that an entry knows. */
export class RankGroups {
  readonly #byName = new Map<string, GroupBelief>();
  /** Names of groups by the host and port of their ranks' engines. */
  readonly #nameByAddress = new Map<string, string>();
  /** Hosts and ports of the ranks that each group had as it last ran, by its name. */
  readonly #ranksByName = new Map<string, readonly string[]>();
  /** Back ends that are listed as serving, by host and port. */
  #serving: ReadonlyMap<string, string> = new Map();
  /** Back ends whose loss a rank of their group named; a group runs again without them. */
  readonly #lost = new Set<string>();

  /**
   * The ranks of groups were listed. One that is missing stays: its entry may have lapsed
   * while the store was away.
   */
  setRanks(ranks: readonly ListedRank[]): void {
    for (const { engineAddress, group } of ranks) {
      this.#nameByAddress.set(engineAddress, group);
    }
  }

  /** The back ends were listed; these serve, by host and port. */
  setServing(serving: ReadonlyMap<string, string>): void {
    this.#serving = serving;
    const listed = new Set(serving.values());
    for (const id of this.#lost) {
      if (!listed.has(id)) this.#lost.delete(id);
    }
  }

  /** A rank named another one, by its id, whose loss keeps their group from its work. */
  noteLost(id: string): void {
    this.#lost.add(id);
  }

  /**
   * Whether each rank of a group is listed as serving, and none was named as lost, as far
   * as is known. A group runs only with all its ranks.
   */
  isWhole(name: string): boolean {
    return this.#ranksOf(name).every((address) => {
      const id = this.#serving.get(address);
      return id !== undefined && !this.#lost.has(id);
    });
  }

  #ranksOf(name: string): readonly string[] {
    const asItLastRan = this.#ranksByName.get(name);
    if (asItLastRan !== undefined) return asItLastRan;
    return [...this.#nameByAddress.keys()].filter((address) =>
      this.#nameByAddress.get(address) === name
    );
  }

  /** A decider told of its group; returns whether that changed a belief. */
  noteLoad(message: GroupLoad, now: number): boolean {
    const { group, loads, passMs, isOpen, ageMs, epoch } = message;
    const ranks = loads.map(({ engineAddress }) => engineAddress);
    for (const address of ranks) this.#nameByAddress.set(address, group);
    if (isOpen) this.#ranksByName.set(group, ranks);
    const belief = this.#get(group);
    belief.lateAdmission.note({ passMs, at: now });
    const load = loads.reduce(
      (sum, { running, queued }) => sum + running + queued,
      0,
    );
    belief.capacity.note({ at: now, epoch, passMs, load });
    return this.see(group, { isOpen, seenAt: now - ageMs });
  }

  /** A group was seen to run or not; returns whether that changed a belief. */
  see(name: string, sight: GroupSight): boolean {
    const hasChanged = this.#get(name).see(sight);
    if (hasChanged && sight.isOpen) this.#forgetLost(name);
    return hasChanged;
  }

  /** A group that runs has lost none of its ranks. */
  #forgetLost(name: string): void {
    for (const address of this.#ranksOf(name)) {
      this.#lost.delete(this.#serving.get(address) ?? "");
    }
  }

  /** The group of the engine at an address, if it is known to have one. */
  tryGroupAt(engineAddress: string): GroupBelief | undefined {
    const name = this.#nameByAddress.get(engineAddress);
    return name === undefined ? undefined : this.#get(name);
  }

  #get(name: string): GroupBelief {
    let group = this.#byName.get(name);
    if (group === undefined) {
      group = new GroupBelief(name);
      this.#byName.set(name, group);
    }
    return group;
  }
}
