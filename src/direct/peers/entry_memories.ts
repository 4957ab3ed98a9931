/**
 * What entries remember that is in no store, and tell each other: requests under which
 * targets ended, and the limits that targets name.
 *
 * @module
 */
import type { CrashMemory } from "../../entry/crash_watch.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import type { TargetLimit, TargetLimits } from "../../policy/target_limits.ts";
import {
  MemoryTeller,
  NOTHING_REMEMBERED,
  type TellableMemory,
} from "./memory_teller.ts";
import type {
  CrashedRequestNews,
  MemoriesNews,
  TargetLimitNews,
} from "./types.ts";

/** What an entry remembers of each matter, in short. */
export interface MemoryContents {
  readonly crashes: string;
  readonly limits: string;
}

/** Contents of memories that hold nothing. */
export const NO_MEMORIES: MemoryContents = {
  crashes: NOTHING_REMEMBERED,
  limits: NOTHING_REMEMBERED,
};

/** Options of {@link EntryMemories}. */
export interface EntryMemoriesOptions {
  readonly crashes: CrashMemory;
  readonly limits: Pick<TargetLimits, "content" | "list">;
  /** Another entry told what it remembers, on this process's clock. */
  readonly onCrashes: (requests: readonly CrashedRequest[]) => void;
  readonly onLimits: (limits: readonly TargetLimit[]) => void;
}

/** What an entry remembers that other entries are to know. */
export class EntryMemories {
  readonly #options: EntryMemoriesOptions;

  /** Reads the memories whenever something is told. */
  constructor(options: EntryMemoriesOptions) {
    this.#options = options;
  }

  /** What is remembered now. */
  get contents(): MemoryContents {
    const { crashes, limits } = this.#options;
    return { crashes: crashes.content, limits: limits.content };
  }

  /** For one other entry. */
  createTeller(): MemoriesTeller {
    const { crashes, limits } = this.#options;
    return new MemoriesTeller({
      crashes: {
        get content() {
          return crashes.content;
        },
        list: (now) => crashes.list().map((one) => toCrashNews(one, now)),
      },
      limits: {
        get content() {
          return limits.content;
        },
        list: (now) => limits.list().map((one) => toLimitNews(one, now)),
      },
    });
  }

  /** Another entry told what it remembers; `now` in milliseconds. */
  take({ crashes, limits }: MemoriesNews, now: number): void {
    const { onCrashes, onLimits } = this.#options;
    if (crashes?.items !== undefined) {
      onCrashes(crashes.items.map((one) => readCrashNews(one, now)));
    }
    if (limits?.items !== undefined) {
      onLimits(limits.items.map((one) => readLimitNews(one, now)));
    }
  }
}

interface TellableMemories {
  readonly crashes: TellableMemory<CrashedRequestNews>;
  readonly limits: TellableMemory<TargetLimitNews>;
}

/** Tells one other entry what this one remembers. */
export class MemoriesTeller {
  readonly #crashes: MemoryTeller<CrashedRequestNews>;
  readonly #limits: MemoryTeller<TargetLimitNews>;

  /** Has told nothing yet. */
  constructor({ crashes, limits }: TellableMemories) {
    this.#crashes = new MemoryTeller(crashes);
    this.#limits = new MemoryTeller(limits);
  }

  /**
   * What is told to one that remembers `other`; `now` in milliseconds.
   *
   * @example
   * ```ts
   * const memories = teller.tell(NO_MEMORIES, performance.now());
   * ```
   */
  tell(other: MemoryContents, now: number): MemoriesNews {
    return {
      crashes: this.#crashes.tryTell(other.crashes, now),
      limits: this.#limits.tryTell(other.limits, now),
    };
  }
}

/**
 * What the sender of news remembers, in short.
 *
 * @example
 * ```ts
 * const contents = getContents(query.memories);
 * ```
 */
export function getContents(news: MemoriesNews): MemoryContents {
  return {
    crashes: news.crashes?.content ?? NOTHING_REMEMBERED,
    limits: news.limits?.content ?? NOTHING_REMEMBERED,
  };
}

/**
 * Whether two entries remember the same.
 *
 * @example
 * ```ts
 * if (!areSame(told, memories.contents)) tell();
 * ```
 */
export function areSame(left: MemoryContents, right: MemoryContents): boolean {
  return left.crashes === right.crashes && left.limits === right.limits;
}

function toCrashNews(
  { request, crashes, servedAt }: CrashedRequest,
  now: number,
): CrashedRequestNews {
  return {
    request,
    crashes: crashes.map(({ target, aliveAt, endedAt }) => ({
      target,
      aliveAgeMs: getAge(aliveAt, now),
      endedAgeMs: getAge(endedAt, now),
    })),
    servedAgeMs: servedAt === undefined ? undefined : getAge(servedAt, now),
  };
}

function readCrashNews(
  { request, crashes, servedAgeMs }: CrashedRequestNews,
  now: number,
): CrashedRequest {
  return {
    request,
    crashes: crashes.map(({ target, aliveAgeMs, endedAgeMs }) => ({
      target,
      aliveAt: now - aliveAgeMs,
      endedAt: now - endedAgeMs,
    })),
    servedAt: servedAgeMs === undefined ? undefined : now - servedAgeMs,
  };
}

function toLimitNews(
  { target, perSecond, version, heardAt }: TargetLimit,
  now: number,
): TargetLimitNews {
  return { target, perSecond, version, ageMs: getAge(heardAt, now) };
}

function readLimitNews(
  { target, perSecond, version, ageMs }: TargetLimitNews,
  now: number,
): TargetLimit {
  return { target, perSecond, version, heardAt: now - ageMs };
}

function getAge(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}
