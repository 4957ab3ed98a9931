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

/**
 * What is told to one that remembers `told`, in short; undefined: neither remembers any.
 * `now` is in milliseconds.
 *
 * @example
 * ```ts
 * const crashes = tryCreateCrashNews(memory, NOTHING_REMEMBERED, now);
 * ```
 */
export function tryCreateCrashNews(
  memory: CrashMemory,
  told: string,
  now: number,
): CrashMemoryNews | undefined {
  const { content } = memory;
  if (content === told) {
    return content === NOTHING_REMEMBERED ? undefined : { content };
  }
  return { content, requests: memory.list().map((one) => toNews(one, now)) };
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
