/**
 * What entries tell each other of requests under which targets ended. Each tells all that it
 * remembers whenever the other one's memory is known to differ, so that whoever restarts, or
 * was cut off, has all of it after one question.
 *
 * @module
 */
import type { CrashMemory } from "../../entry/crash_watch.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import type { CrashedRequestNews, CrashMemoryNews } from "./types.ts";

/** Content of a memory that holds nothing. */
export const NOTHING_REMEMBERED = "";

/** Tells one other entry what this one remembers. */
export class CrashTeller {
  readonly #memory: CrashMemory;
  /** What both remembered, in short, when all was told last. */
  #ownThen: string | undefined;
  #otherThen: string | undefined;

  /** Has told nothing yet. */
  constructor(memory: CrashMemory) {
    this.#memory = memory;
  }

  /**
   * What is told to one that remembers `other`, in short; undefined: neither remembers any.
   * All is told once for each difference: what the other does not take in, since it
   * has more to remember already, is not told again and again. `now` is in milliseconds.
   *
   * @example
   * ```ts
   * const crashes = teller.tryTell(NOTHING_REMEMBERED, performance.now());
   * ```
   */
  tryTell(other: string, now: number): CrashMemoryNews | undefined {
    const { content } = this.#memory;
    const isNothing = content === other && content === NOTHING_REMEMBERED;
    if (isNothing) return undefined;
    const isTold = content === this.#ownThen && other === this.#otherThen;
    if (content === other || isTold) return { content };
    this.#ownThen = content;
    this.#otherThen = other;
    const requests = this.#memory.list().map((one) => toNews(one, now));
    return { content, requests };
  }
}

/**
 * What was told, on this process's clock.
 *
 * @example
 * ```ts
 * const requests = readCrashNews(news.requests ?? [], performance.now());
 * ```
 */
export function readCrashNews(
  requests: readonly CrashedRequestNews[],
  now: number,
): readonly CrashedRequest[] {
  return requests.map(({ request, crashes, servedAgeMs }) => ({
    request,
    crashes: crashes.map(({ target, aliveAgeMs, endedAgeMs }) => ({
      target,
      aliveAt: now - aliveAgeMs,
      endedAt: now - endedAgeMs,
    })),
    servedAt: servedAgeMs === undefined ? undefined : now - servedAgeMs,
  }));
}

function toNews(
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

function getAge(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}
