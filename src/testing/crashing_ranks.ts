/**
 * Simulates rank groups whose ranks crash, in virtual time: because of requests that
 * crash each rank that runs them, and for other reasons. A crash stops the whole group
 * until the rank has restarted; runs at the other ranks break when these notice the
 * crash.
 *
 * @module
 */
import type { EventQueue } from "./event_queue.ts";

/** Milliseconds until a running request crashes its rank, or else is answered. */
const CRASH_AFTER_MS = 100;
const ANSWER_AFTER_MS = 500;
/** Milliseconds until a rank refuses a request whose group is known to be lost. */
const REFUSAL_MS = 5;
/** Milliseconds until the other ranks of a group notice that a rank is gone. */
const CRASH_DETECTION_MS = 1500;
/**
 * Milliseconds until a crashed rank has restarted, and then until its group has formed.
 */
const RESTART_MS = 3100;
const GROUP_FORMATION_MS = 1100;

/** How a run at a rank ended. */
export type RunOutcome = "answered" | "broken" | "group lost";

/** One incarnation of a rank. */
export interface RankIncarnation {
  readonly id: string;
  readonly address: string;
  readonly group: string;
}

interface RankRun {
  readonly rank: RankIncarnation;
  readonly onEnd: RunListener;
}

/** Called when a run has ended; `lostPeer` is the rank without which the group stopped. */
export type RunListener = (end: RunOutcome, lostPeer?: string) => void;

/** Options of {@link CrashingRanks}. */
export interface CrashingRanksOptions {
  readonly queue: EventQueue;
  readonly groups: number;
  readonly ranksPerGroup: number;
  /**
   * Milliseconds for which the other ranks of a group continue after a crash, so that
   * they may crash as well. Defaults to 0.
   */
  readonly samePassMs?: number;
  /** Called when a group stops or runs again. */
  readonly onGroupChanged: (group: string, isOpen: boolean) => void;
}

/** Rank groups whose ranks crash. */
export class CrashingRanks {
  readonly #options: CrashingRanksOptions;
  /** The current or last incarnation of each rank. */
  #ranks: RankIncarnation[] = [];
  readonly #runs = new Set<RankRun>();
  readonly #closedUntil = new Map<string, number>();
  /** The last rank that each group has lost. */
  readonly #lostByGroup = new Map<string, string>();
  #incarnations = 0;
  readonly #crashedAt: number[] = [];

  /** Starts all ranks. */
  constructor(options: CrashingRanksOptions) {
    this.#options = options;
    const { groups, ranksPerGroup } = options;
    for (let group = 0; group < groups; group++) {
      for (let rank = 0; rank < ranksPerGroup; rank++) {
        const address = `rank-${group}-${rank}:80`;
        this.#ranks.push(this.#start(address, `group-${group}`));
      }
    }
  }

  /**
   * The last incarnation of each rank; a crashed one is listed until the rank has
   * restarted.
   */
  get listed(): readonly RankIncarnation[] {
    return this.#ranks;
  }

  /** Names of the groups, and whether each runs. */
  get groups(): readonly { readonly name: string; readonly isOpen: boolean }[] {
    const names = new Set(this.#ranks.map(({ group }) => group));
    return [...names].map((name) => ({ name, isOpen: !this.#isClosed(name) }));
  }

  /** When requests crashed ranks, in milliseconds. */
  get crashedAt(): readonly number[] {
    return this.#crashedAt;
  }

  /**
   * Runs a request at a rank; with `crashes`, the request crashes each rank that runs it.
   */
  run(
    id: string,
    request: { readonly crashes: boolean; readonly answerAfterMs?: number },
    onEnd: RunListener,
  ): void {
    const rank = this.#ranks.find((one) => one.id === id);
    const { queue } = this.#options;
    if (rank === undefined) return queue.after(1, () => onEnd("broken"));
    if (this.#isClosed(rank.group)) {
      const lostPeer = this.#lostByGroup.get(rank.group);
      const detectedAt = this.#getClosedAt(rank.group) + CRASH_DETECTION_MS;
      const waitMs = Math.max(REFUSAL_MS, detectedAt - queue.now);
      return queue.after(waitMs, () => onEnd("group lost", lostPeer));
    }
    const run: RankRun = { rank, onEnd };
    this.#runs.add(run);
    const { answerAfterMs = ANSWER_AFTER_MS } = request;
    const after = request.crashes ? CRASH_AFTER_MS : answerAfterMs;
    queue.after(after, () => {
      if (!this.#runs.has(run)) return;
      if (request.crashes && this.#mayStillCrash(rank.group)) {
        this.#crashedAt.push(queue.now);
        return this.crash([rank]);
      }
      if (!this.#isClosed(rank.group)) this.#end(run, "answered");
    });
  }

  /** Ranks do not stop in the moment in which another one crashes. */
  #mayStillCrash(group: string): boolean {
    return !this.#isClosed(group) ||
      this.#options.queue.now - this.#getClosedAt(group) <
        (this.#options.samePassMs ?? 0);
  }

  #getClosedAt(group: string): number {
    const openAt = this.#closedUntil.get(group) ?? 0;
    return openAt - RESTART_MS - GROUP_FORMATION_MS;
  }

  /** Crashes several ranks at the same time. */
  crash(ranks: readonly RankIncarnation[]): void {
    const { queue } = this.#options;
    const ids = new Set(ranks.map(({ id }) => id));
    for (const run of [...this.#runs]) {
      if (ids.has(run.rank.id)) this.#end(run, "broken");
    }
    for (const group of new Set(ranks.map((rank) => rank.group))) {
      this.#stopGroup(group);
    }
    for (const rank of ranks) {
      this.#lostByGroup.set(rank.group, rank.id);
      queue.after(RESTART_MS, () => this.#replace(rank));
    }
  }

  #stopGroup(group: string): void {
    const { queue, onGroupChanged } = this.#options;
    const until = queue.now + RESTART_MS + GROUP_FORMATION_MS;
    this.#closedUntil.set(group, until);
    onGroupChanged(group, false);
    queue.after(CRASH_DETECTION_MS, () => {
      for (const run of [...this.#runs]) {
        if (run.rank.group === group) this.#end(run, "broken");
      }
    });
    queue.after(RESTART_MS + GROUP_FORMATION_MS, () => {
      if (this.#closedUntil.get(group) === until) onGroupChanged(group, true);
    });
  }

  #isClosed(group: string): boolean {
    return (this.#closedUntil.get(group) ?? 0) > this.#options.queue.now;
  }

  #end(run: RankRun, end: RunOutcome): void {
    if (this.#runs.delete(run)) run.onEnd(end);
  }

  #replace({ id, address, group }: RankIncarnation): void {
    this.#ranks = this.#ranks.map((one) =>
      one.id === id ? this.#start(address, group) : one
    );
  }

  #start(address: string, group: string): RankIncarnation {
    return { id: `start-${++this.#incarnations}`, address, group };
  }
}
