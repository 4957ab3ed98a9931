/**
 * A rank group that runs passes together, in virtual time: each running request makes
 * every pass longer, and what one costs jumps now and then.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { RankLoadRow } from "../messages/formed_group_types.ts";
import type { EventQueue } from "./event_queue.ts";

/** Ranks of the group, and requests that each runs at once: 224 slots. */
export const RANKS = 32;
export const SLOTS_PER_RANK = 7;
/** Milliseconds of a pass without requests. */
export const IDLE_PASS_MS = 36;
/** Milliseconds by which each running request makes a pass longer. */
const COST_MS = 0.46;
/** While the map does not follow the popularity of experts, a request costs more. */
const JUMP = { least: 1.3, most: 2, lastsMs: 800, leastMs: 2500, mostMs: 4000 };
/** Weight of the newest pass in the mean that is reported. */
const PASS_SMOOTHING = 0.3;

/** One attempt at a rank. */
export interface RankWork {
  /** Names the attempt. */
  readonly key: string;
  /** 0 first. */
  readonly priority: number;
  /** Pieces of the answer; one pass makes one. */
  readonly pieces: number;
  readonly onPiece: (isLast: boolean) => void;
}

interface RunningWork {
  readonly work: RankWork;
  piecesLeft: number;
}

interface Rank {
  running: RunningWork[];
  queued: RankWork[];
}

/** What the group's decider knows at a moment. */
export interface GroupSnapshot {
  readonly passMs: number;
  readonly loads: readonly RankLoadRow[];
}

/** Host and port of a rank's engine. */
export function addressOf(rank: number): string {
  return `rank-${rank}:80`;
}

/** A rank group in virtual time. */
export class JointPassGroup {
  readonly #events: EventQueue;
  readonly #random: RandomSource;
  readonly #ranks: readonly Rank[] = Array.from(
    { length: RANKS },
    () => ({ running: [], queued: [] }),
  );
  #costFactor = 1;
  #passMs = IDLE_PASS_MS;

  /** Runs passes from now on. */
  constructor(events: EventQueue, random: RandomSource) {
    this.#events = events;
    this.#random = random;
    this.#planJump();
    this.#runPass();
  }

  /** A rank gets an attempt; it runs from the next pass on that has a slot for it. */
  submit(rank: number, work: RankWork): void {
    this.#ranks[rank]?.queued.push(work);
  }

  /** Nobody waits for an attempt any more. */
  cancel(rank: number, key: string): void {
    const place = this.#ranks[rank];
    if (place === undefined) return;
    place.running = place.running.filter(({ work }) => work.key !== key);
    place.queued = place.queued.filter((work) => work.key !== key);
  }

  /** How all ranks stand now. */
  observe(): GroupSnapshot {
    return {
      passMs: this.#passMs,
      loads: this.#ranks.map(({ running, queued }, rank) => ({
        engineAddress: addressOf(rank),
        running: running.length,
        queued: queued.length,
        pace: 1,
      })),
    };
  }

  #planJump(): void {
    const { least, most, lastsMs, leastMs, mostMs } = JUMP;
    const spread = () => this.#random.nextFraction();
    this.#events.after(leastMs + spread() * (mostMs - leastMs), () => {
      this.#costFactor = least + spread() * (most - least);
      this.#events.after(lastsMs, () => {
        this.#costFactor = 1;
      });
      this.#planJump();
    });
  }

  #runPass(): void {
    for (const rank of this.#ranks) fillSlots(rank);
    const running = this.#ranks.reduce(
      (sum, rank) => sum + rank.running.length,
      0,
    );
    const passMs = IDLE_PASS_MS + COST_MS * this.#costFactor * running;
    this.#events.after(passMs, () => {
      this.#passMs += PASS_SMOOTHING * (passMs - this.#passMs);
      for (const rank of this.#ranks) endPass(rank);
      this.#runPass();
    });
  }
}

function fillSlots({ running, queued }: Rank): void {
  queued.sort((left, right) => left.priority - right.priority);
  while (running.length < SLOTS_PER_RANK) {
    const work = queued.shift();
    if (work === undefined) return;
    running.push({ work, piecesLeft: work.pieces });
  }
}

function endPass(rank: Rank): void {
  const ran = rank.running;
  for (const row of ran) row.piecesLeft--;
  rank.running = ran.filter(({ piecesLeft }) => piecesLeft > 0);
  for (const { work, piecesLeft } of ran) work.onPiece(piecesLeft === 0);
}
