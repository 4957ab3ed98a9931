/**
 * Simulates a rank group that runs joint passes, in virtual time. Each running request
 * makes every pass longer, and the cost of a request jumps from time to time.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { RankLoadRow } from "../messages/formed_group_types.ts";
import type { EventQueue } from "./event_queue.ts";

/** Ranks of the group, and concurrent requests of each: 224 slots in total. */
export const RANKS = 32;
export const SLOTS_PER_RANK = 7;
/** Milliseconds of a pass without requests. */
export const IDLE_PASS_MS = 36;
/** Milliseconds by which each running request makes a pass longer. */
const COST_MS = 0.46;
/**
 * While the map does not match the popularity of experts, requests cost more by a random
 * factor.
 */
const COST_JUMP = {
  minFactor: 1.3,
  maxFactor: 2,
  durationMs: 800,
  minIntervalMs: 2500,
  maxIntervalMs: 4000,
};
/** Weight of the newest pass in the reported mean. */
const PASS_SMOOTHING = 0.3;

/** One attempt at a rank. */
export interface RankAttempt {
  /** Identifies the attempt. */
  readonly key: string;
  /** Lower numbers run first. */
  readonly priority: number;
  /** Chunks of the answer; each pass produces one. */
  readonly chunks: number;
  readonly onChunk: (isLast: boolean) => void;
}

interface RunningAttempt {
  readonly attempt: RankAttempt;
  remainingChunks: number;
}

interface Rank {
  running: RunningAttempt[];
  queued: RankAttempt[];
}

/** What the group's decider knows at a time. */
export interface GroupSnapshot {
  readonly passMs: number;
  readonly loads: readonly RankLoadRow[];
}

/** Returns the host and port of a rank's engine. */
export function getEngineAddress(rank: number): string {
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

  /** Starts running passes. */
  constructor(events: EventQueue, random: RandomSource) {
    this.#events = events;
    this.#random = random;
    this.#scheduleJump();
    this.#runPass();
  }

  /** Queues an attempt at a rank; it runs from the next pass that has a free slot. */
  submit(rank: number, attempt: RankAttempt): void {
    this.#ranks[rank]?.queued.push(attempt);
  }

  /** Removes an attempt that its caller no longer waits for. */
  cancel(rank: number, key: string): void {
    const rankState = this.#ranks[rank];
    if (rankState === undefined) return;
    rankState.running = rankState.running.filter(({ attempt }) =>
      attempt.key !== key
    );
    rankState.queued = rankState.queued.filter((attempt) =>
      attempt.key !== key
    );
  }

  /** Returns the current load of all ranks. */
  observe(): GroupSnapshot {
    return {
      passMs: this.#passMs,
      loads: this.#ranks.map(({ running, queued }, rank) => ({
        engineAddress: getEngineAddress(rank),
        running: running.length,
        queued: queued.length,
        pace: 1,
      })),
    };
  }

  #scheduleJump(): void {
    const { minFactor, maxFactor, durationMs, minIntervalMs, maxIntervalMs } =
      COST_JUMP;
    const nextFraction = () => this.#random.nextFraction();
    this.#events.after(
      minIntervalMs + nextFraction() * (maxIntervalMs - minIntervalMs),
      () => {
        this.#costFactor = minFactor + nextFraction() * (maxFactor - minFactor);
        this.#events.after(durationMs, () => {
          this.#costFactor = 1;
        });
        this.#scheduleJump();
      },
    );
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
    const attempt = queued.shift();
    if (attempt === undefined) return;
    running.push({ attempt, remainingChunks: attempt.chunks });
  }
}

function endPass(rank: Rank): void {
  const running = rank.running;
  for (const row of running) row.remainingChunks--;
  rank.running = running.filter(({ remainingChunks }) => remainingChunks > 0);
  for (const { attempt, remainingChunks } of running) {
    attempt.onChunk(remainingChunks === 0);
  }
}
