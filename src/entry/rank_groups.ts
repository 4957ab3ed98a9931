/**
 * The rank groups that an entry knows: which engine belongs to which, and what is
 * believed of each.
 *
 * @module
 */
import type { GroupLoad } from "../group/formed/types.ts";
import { GroupBelief, type GroupSight } from "./group_belief.ts";
import type { ListedRank } from "./types.ts";

/** The rank groups that an entry knows. */
export class RankGroups {
  readonly #byName = new Map<string, GroupBelief>();
  /** Names of groups by the host and port of their ranks' engines. */
  readonly #nameByAddress = new Map<string, string>();

  /**
   * The ranks of groups were listed. One that is missing stays: its entry may have lapsed
   * while the store was away.
   */
  setRanks(ranks: readonly ListedRank[]): void {
    for (const { engineAddress, group } of ranks) {
      this.#nameByAddress.set(engineAddress, group);
    }
  }

  /** A decider told of its group; returns whether that changed a belief. */
  noteLoad(message: GroupLoad, now: number): boolean {
    const { group, loads, passMs, isOpen, ageMs } = message;
    this.setRanks(loads.map(({ engineAddress }) => ({ engineAddress, group })));
    this.#get(group).lateAdmission.note({ passMs, at: now });
    return this.see(group, { isOpen, seenAt: now - ageMs });
  }

  /** A group was seen to run or not; returns whether that changed a belief. */
  see(name: string, sight: GroupSight): boolean {
    return this.#get(name).see(sight);
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
