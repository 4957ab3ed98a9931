/**
 * Brings together attempts that ended without an answer and targets that are gone, to tell
 * which requests targets have ended under.
 *
 * An attempt breaks off when its target crashes, but for many other reasons, too; that a
 * target is gone is heard seconds later, or before if it fell silent. Only the two together
 * are a crash.
 *
 * @module
 */
import { type CrashedRequest, CrashHistory } from "../policy/crash_history.ts";
import { createCrashNote } from "./decision_notes.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { LostAttempt } from "./lost_attempt.ts";
import type { CrashesTold, EntryEffect, MemoriesChanged } from "./types.ts";

/**
 * Milliseconds in which it is heard that a target is gone: its entry lapses after three
 * heartbeats of some 1.2 s, and back ends are listed each 0.7 s.
 */
const HEARD_WITHIN_MS = 6000;
/** Milliseconds for which attempts at a target that fell silent go on. */
const SILENT_MS = 10_000;
/** Attempts that are remembered: those of the busiest seconds of one entry. */
const MOST_LOST = 512;

/**
 * Targets at which one request runs at a time. Where attempts at more of them end together,
 * power, a rack or the network was lost.
 */
const MOST_AT_ONCE = 2;
/** Milliseconds within which attempts end together. */
const AT_ONCE_MS = 100;

const MEMORIES_CHANGED: MemoriesChanged = { kind: "memories_changed" };

/** How an attempt ended. */
export interface AttemptEnd {
  readonly now: number;
  /** Whether its connection broke; otherwise nobody waits for it any more. */
  readonly isBroken: boolean;
}

/** What is remembered of targets that ended under requests. */
export interface CrashMemory {
  /** In short: the same for the same crashes. */
  readonly content: string;
  list(): readonly CrashedRequest[];
}

/** Tells which requests targets have ended under. */
export class CrashWatch implements CrashMemory {
  readonly #history = new CrashHistory();
  /** When a target last answered anything, in milliseconds; 0 if it never did. */
  readonly #getAnsweredAt: (target: string) => number;
  #lost: LostAttempt[] = [];
  /** Targets that are gone, with the time at which that was heard. */
  readonly #goneAt = new Map<string, number>();

  /** Remembers nothing yet. */
  constructor(getAnsweredAt: (target: string) => number) {
    this.#getAnsweredAt = getAnsweredAt;
  }

  get content(): string {
    return this.#history.content;
  }

  list(): readonly CrashedRequest[] {
    return this.#history.list();
  }

  /** Whether a request may run, since targets have not ended under it again and again. */
  mayRun(inFlight: InFlightRequest, now: number): boolean {
    return this.#history.isEmpty ||
      this.#history.getRefusedMs(inFlight.digest, now) === 0;
  }

  /** Whether a target has ended under the request before. */
  hasCrashed(inFlight: InFlightRequest): boolean {
    return !this.#history.isEmpty && this.#history.hasCrashed(inFlight.digest);
  }

  /** The attempt under way has ended without an answer, and may have run. */
  noteLost(
    inFlight: InFlightRequest,
    end: AttemptEnd,
  ): readonly EntryEffect[] {
    const { targetName } = inFlight;
    if (targetName === undefined) return [];
    const answeredAt = this.#getAnsweredAt(targetName);
    const lost = createLostAttempt(inFlight, targetName, {
      ...end,
      answeredAt,
    });
    this.#lost.push(lost);
    if (this.#lost.length > MOST_LOST) this.#lost.shift();
    return this.#goneAt.has(targetName) ? this.#note([lost], end.now) : [];
  }

  /** A target is gone without a word that it leaves. */
  noteGone(target: string, now: number): readonly EntryEffect[] {
    this.#forgetOld(now);
    this.#goneAt.set(target, now);
    return this.#note(
      this.#lost.filter((lost) => lost.target === target),
      now,
    );
  }

  /** A request was answered. */
  noteServed(inFlight: InFlightRequest, now: number): readonly EntryEffect[] {
    const isNews = this.hasCrashed(inFlight) &&
      this.#history.noteServed(inFlight.digest, now);
    return isNews ? [MEMORIES_CHANGED] : [];
  }

  /** Another entry told what it remembers. */
  noteTold({ requests, now }: CrashesTold): readonly EntryEffect[] {
    return this.#history.merge(requests, now) ? [MEMORIES_CHANGED] : [];
  }

  #note(lost: readonly LostAttempt[], now: number): readonly EntryEffect[] {
    const notes = lost
      .filter((one) => !this.#isOneOfMany(one))
      .filter((one) => this.#history.note(one.digest, one, now))
      .map((one) => {
        const refusedMs = this.#history.getRefusedMs(one.digest, now);
        return createCrashNote({ ...one, refusedMs });
      });
    return notes.length === 0 ? [] : [...notes, MEMORIES_CHANGED];
  }

  /** Whether attempts at many targets ended with this one. */
  #isOneOfMany({ endedAt }: LostAttempt): boolean {
    const atOnce = this.#lost.filter((other) =>
      Math.abs(other.endedAt - endedAt) <= AT_ONCE_MS
    );
    return new Set(atOnce.map(({ target }) => target)).size > MOST_AT_ONCE;
  }

  #forgetOld(now: number): void {
    this.#lost = this.#lost.filter(({ endedAt }) =>
      now - endedAt < HEARD_WITHIN_MS
    );
    for (const [target, goneAt] of this.#goneAt) {
      if (now - goneAt >= SILENT_MS) this.#goneAt.delete(target);
    }
  }
}

interface LostAttemptEnd extends AttemptEnd {
  /** When the target last answered anything, in milliseconds. */
  readonly answeredAt: number;
}

function createLostAttempt(
  inFlight: InFlightRequest,
  target: string,
  { now, isBroken, answeredAt }: LostAttemptEnd,
): LostAttempt {
  const { attemptStartedAt, digest, head, request, route } = inFlight;
  // One that is silent from the start may have been gone before it got the request.
  const hasLived = isBroken || head !== undefined;
  return {
    digest,
    target,
    organisation: route.organisation,
    path: request.path,
    sentAt: attemptStartedAt,
    aliveAt: hasLived
      ? attemptStartedAt
      : Math.min(attemptStartedAt, answeredAt),
    endedAt: now,
  };
}
