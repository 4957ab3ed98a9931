/**
 * What entries remember that is in no store, and tell each other: requests under which
 * targets ended, the limits that targets name, and targets that have said that they leave.
 *
 * @module
 */
import type { CrashMemory } from "../../entry/crash_watch.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import type {
  LeavingTarget,
  LeavingTargets,
} from "../../policy/leaving_targets.ts";
import type { TargetLimit, TargetLimits } from "../../policy/target_limits.ts";
import {
  MemoryTeller,
  NOTHING_REMEMBERED,
  type TellableMemory,
} from "./memory_teller.ts";
import type {
  CrashedRequestNews,
  LeavingTargetNews,
  MemoriesNews,
  TargetLimitNews,
} from "../../messages/peer_types.ts";

/** What an entry remembers of each matter, in short. */
export interface MemoryContents {
  readonly crashes: string;
  readonly limits: string;
  readonly leaving: string;
}

/** Contents of memories that hold nothing. */
export const NO_MEMORIES: MemoryContents = {
  crashes: NOTHING_REMEMBERED,
  limits: NOTHING_REMEMBERED,
  leaving: NOTHING_REMEMBERED,
};

/** Options of {@link EntryMemories}. */
export interface EntryMemoriesOptions {
  readonly crashes: CrashMemory;
  readonly limits: Pick<TargetLimits, "content" | "list">;
  readonly leaving: Pick<LeavingTargets, "content" | "list">;
  /** Another entry told what it remembers, on this process's clock. */
  readonly onCrashes: (requests: readonly CrashedRequest[]) => void;
  readonly onLimits: (limits: readonly TargetLimit[]) => void;
  readonly onLeaving: (targets: readonly LeavingTarget[]) => void;
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
    const { crashes, limits, leaving } = this.#options;
    return {
      crashes: crashes.content,
      limits: limits.content,
      leaving: leaving.content,
    };
  }

  /** For one other entry. */
  createTeller(): MemoriesTeller {
    const { crashes, limits, leaving } = this.#options;
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
      leaving: {
        get content() {
          return leaving.content;
        },
        list: (now) => leaving.list().map((one) => toLeavingNews(one, now)),
      },
    });
  }

  /** Another entry told what it remembers; `now` in milliseconds. */
  take({ crashes, limits, leaving }: MemoriesNews, now: number): void {
    const { onCrashes, onLimits, onLeaving } = this.#options;
    if (crashes?.items !== undefined) {
      onCrashes(crashes.items.map((one) => readCrashNews(one, now)));
    }
    if (limits?.items !== undefined) {
      onLimits(limits.items.map((one) => readLimitNews(one, now)));
    }
    if (leaving?.items !== undefined) {
      onLeaving(leaving.items.map((one) => readLeavingNews(one, now)));
    }
  }
}

interface TellableMemories {
  readonly crashes: TellableMemory<CrashedRequestNews>;
  readonly limits: TellableMemory<TargetLimitNews>;
  readonly leaving: TellableMemory<LeavingTargetNews>;
}

/** Tells one other entry what this one remembers. */
export class MemoriesTeller {
  readonly #crashes: MemoryTeller<CrashedRequestNews>;
  readonly #limits: MemoryTeller<TargetLimitNews>;
  readonly #leaving: MemoryTeller<LeavingTargetNews>;

  /** Has told nothing yet. */
  constructor({ crashes, limits, leaving }: TellableMemories) {
    this.#crashes = new MemoryTeller(crashes);
    this.#limits = new MemoryTeller(limits);
    this.#leaving = new MemoryTeller(leaving);
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
      leaving: this.#leaving.tryTell(other.leaving, now),
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
    leaving: news.leaving?.content ?? NOTHING_REMEMBERED,
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
  return left.crashes === right.crashes && left.limits === right.limits &&
    left.leaving === right.leaving;
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

function toLeavingNews(
  { target, knownAt }: LeavingTarget,
  now: number,
): LeavingTargetNews {
  return { target, ageMs: getAge(knownAt, now) };
}

function readLeavingNews(
  { target, ageMs }: LeavingTargetNews,
  now: number,
): LeavingTarget {
  return { target, knownAt: now - ageMs };
}

function getAge(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}
