/**
 * Rank groups whose ranks crash, in virtual time: under requests that crash each rank that
 * begins to run them, and for other reasons. A crash stops the whole group until the rank is
 * back; whatever runs at the others breaks when they notice.
 *
 * @module
 */
import type { EventQueue } from "./event_queue.ts";

/** Milliseconds of a request until the rank that runs it crashes, or answers. */
const CRASH_AFTER_MS = 100;
const ANSWER_AFTER_MS = 500;
/** Milliseconds until the other ranks of a group notice that one is gone. */
const STALL_MS = 1500;
/** Milliseconds until a rank that crashed runs again, and its group. */
const DOWN_MS = 3100;
const FORM_MS = 1100;

/** How a run at a rank ended. */
export type RunEnd = "answered" | "broken" | "group lost";

/** One start of a rank. */
export interface RankStart {
  readonly id: string;
  readonly address: string;
  readonly group: string;
}

interface Run {
  readonly rank: RankStart;
  readonly onEnd: (end: RunEnd) => void;
}

/** Options of {@link CrashingRanks}. */
export interface CrashingRanksOptions {
  readonly queue: EventQueue;
  readonly groups: number;
  readonly ranksPerGroup: number;
  /** A group stopped or runs again. */
  readonly onGroup: (group: string, isOpen: boolean) => void;
}

/** Rank groups whose ranks crash. */
export class CrashingRanks {
  readonly #options: CrashingRanksOptions;
  /** The last start of each rank. */
  #ranks: RankStart[] = [];
  readonly #runs = new Set<Run>();
  readonly #closedUntil = new Map<string, number>();
  #starts = 0;
  #crashes = 0;

  /** All ranks run. */
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

  /** The last start of each rank; one that crashed is listed until the next one. */
  get listed(): readonly RankStart[] {
    return this.#ranks;
  }

  /** Crashes under requests that crash ranks. */
  get crashes(): number {
    return this.#crashes;
  }

  /** A request comes to a rank; `crashes` if it crashes each rank that runs it. */
  run(
    id: string,
    request: { readonly crashes: boolean },
    onEnd: (end: RunEnd) => void,
  ): void {
    const rank = this.#ranks.find((one) => one.id === id);
    const { queue } = this.#options;
    if (rank === undefined) return queue.after(1, () => onEnd("broken"));
    if (this.#isClosed(rank.group)) {
      return queue.after(STALL_MS, () => onEnd("group lost"));
    }
    const run: Run = { rank, onEnd };
    this.#runs.add(run);
    const after = request.crashes ? CRASH_AFTER_MS : ANSWER_AFTER_MS;
    queue.after(after, () => {
      if (this.#isClosed(rank.group) || !this.#runs.has(run)) return;
      if (request.crashes) {
        this.#crashes++;
        return this.crash([rank]);
      }
      this.#end(run, "answered");
    });
  }

  /** Ranks crash at once. */
  crash(ranks: readonly RankStart[]): void {
    const { queue } = this.#options;
    const ids = new Set(ranks.map(({ id }) => id));
    for (const run of [...this.#runs]) {
      if (ids.has(run.rank.id)) this.#end(run, "broken");
    }
    for (const group of new Set(ranks.map((rank) => rank.group))) {
      this.#stopGroup(group);
    }
    for (const rank of ranks) {
      queue.after(DOWN_MS, () => this.#replace(rank));
    }
  }

  #stopGroup(group: string): void {
    const { queue, onGroup } = this.#options;
    const until = queue.now + DOWN_MS + FORM_MS;
    this.#closedUntil.set(group, until);
    onGroup(group, false);
    queue.after(STALL_MS, () => {
      for (const run of [...this.#runs]) {
        if (run.rank.group === group) this.#end(run, "broken");
      }
    });
    queue.after(DOWN_MS + FORM_MS, () => {
      if (this.#closedUntil.get(group) === until) onGroup(group, true);
    });
  }

  #isClosed(group: string): boolean {
    return (this.#closedUntil.get(group) ?? 0) > this.#options.queue.now;
  }

  #end(run: Run, end: RunEnd): void {
    if (this.#runs.delete(run)) run.onEnd(end);
  }

  #replace({ id, address, group }: RankStart): void {
    this.#ranks = this.#ranks.map((one) =>
      one.id === id ? this.#start(address, group) : one
    );
  }

  #start(address: string, group: string): RankStart {
    return { id: `start-${++this.#starts}`, address, group };
  }
}
