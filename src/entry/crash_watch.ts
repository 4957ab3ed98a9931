/**
 * Correlates attempts that ended without an answer with targets that are gone, to detect
 * which requests crashed targets.
 *
 * An attempt ends without an answer when its target crashes, but also for many other
 * reasons. The entry learns that a target is gone seconds after the attempt ended, or
 * before that if the target stopped answering without closing its connections. Only both
 * together count as a crash.
 *
 * @module
 */
import { type CrashedRequest, CrashHistory } from "../policy/crash_history.ts";
import { createCrashRecord } from "./decision_records.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { LostAttempt } from "./lost_attempt.ts";
import type {
  CrashesReceived,
  EntryEffect,
  ReplicatedStateChanged,
} from "./types.ts";

/**
 * Milliseconds for which a lost attempt is kept, to be correlated with the loss of its
 * target. The registration of a target expires after three heartbeats of some 1.2 s, and
 * back ends are listed every 0.7 s.
 */
const LOST_ATTEMPT_RETENTION_MS = 6000;
/**
 * Milliseconds for which a target that is gone is kept, to be correlated with attempts
 * that end later. Attempts at a target that stopped answering can stay open for this
 * long.
 */
const GONE_TARGET_RETENTION_MS = 10_000;
/** Maximum number of lost attempts to keep: those of the busiest seconds of one entry. */
const MAX_LOST_ATTEMPTS = 512;

/**
 * Maximum number of targets at which attempts that end together still count as crashes:
 * one request runs at no more targets at a time. If attempts at more targets end
 * together, power, a rack or the network was lost.
 */
const MAX_SIMULTANEOUS_TARGETS = 2;
/** Milliseconds within which attempts count as ending together. */
const SIMULTANEOUS_WINDOW_MS = 100;

const REPLICATED_STATE_CHANGED: ReplicatedStateChanged = {
  kind: "memories_changed",
};

/** How an attempt ended. */
export interface AttemptEnd {
  readonly now: number;
  /** Whether its connection broke; otherwise nobody waits for the answer any more. */
  readonly isBroken: boolean;
}

/** The known crashes, as they are replicated to other entries. */
export interface ReplicatedCrashes {
  /** Digest that is equal for equal crashes. */
  readonly content: string;
  list(): readonly CrashedRequest[];
}

/** Detects requests that crash targets. */
export class CrashWatch implements ReplicatedCrashes {
  readonly #history = new CrashHistory();
  /** Returns when a target last answered anything, in milliseconds; 0 if it never did. */
  readonly #getAnsweredAt: (target: string) => number;
  #lost: LostAttempt[] = [];
  /** Targets that are gone, with the time at which this entry learned of it. */
  readonly #goneAt = new Map<string, number>();

  /** Starts without any known crash. */
  constructor(getAnsweredAt: (target: string) => number) {
    this.#getAnsweredAt = getAnsweredAt;
  }

  get content(): string {
    return this.#history.content;
  }

  list(): readonly CrashedRequest[] {
    return this.#history.list();
  }

  /** Whether a request may run: it has not crashed several targets in a row. */
  mayRun(inFlight: InFlightRequest, now: number): boolean {
    return this.#history.isEmpty ||
      this.#history.getRemainingRefusalMs(inFlight.digest, now) === 0;
  }

  /** Whether the request has crashed a target before. */
  hasCrashed(inFlight: InFlightRequest): boolean {
    return !this.#history.isEmpty && this.#history.hasCrashes(inFlight.digest);
  }

  /** Records that the current attempt ended without an answer, and may have run. */
  recordLost(
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
    if (this.#lost.length > MAX_LOST_ATTEMPTS) this.#lost.shift();
    return this.#goneAt.has(targetName)
      ? this.#recordCrashes([lost], end.now)
      : [];
  }

  /** Records that a target is gone without having announced that it leaves. */
  recordGone(target: string, now: number): readonly EntryEffect[] {
    this.#removeExpired(now);
    this.#goneAt.set(target, now);
    return this.#recordCrashes(
      this.#lost.filter((lost) => lost.target === target),
      now,
    );
  }

  /** Records that a request was answered. */
  recordServed(inFlight: InFlightRequest, now: number): readonly EntryEffect[] {
    const hasChanged = this.hasCrashed(inFlight) &&
      this.#history.recordServed(inFlight.digest, now);
    return hasChanged ? [REPLICATED_STATE_CHANGED] : [];
  }

  /** Merges the crashes that another entry replicated. */
  mergeCrashes({ requests, now }: CrashesReceived): readonly EntryEffect[] {
    return this.#history.merge(requests, now) ? [REPLICATED_STATE_CHANGED] : [];
  }

  #recordCrashes(
    lost: readonly LostAttempt[],
    now: number,
  ): readonly EntryEffect[] {
    const records = lost
      .filter((attempt) => !this.#isMassFailure(attempt))
      .filter((attempt) => this.#history.record(attempt.digest, attempt, now))
      .map((attempt) => {
        const refusedMs = this.#history.getRemainingRefusalMs(
          attempt.digest,
          now,
        );
        return createCrashRecord({ ...attempt, refusedMs });
      });
    return records.length === 0 ? [] : [...records, REPLICATED_STATE_CHANGED];
  }

  /** Whether attempts at many targets ended together with this one. */
  #isMassFailure({ endedAt }: LostAttempt): boolean {
    const simultaneous = this.#lost.filter((other) =>
      Math.abs(other.endedAt - endedAt) <= SIMULTANEOUS_WINDOW_MS
    );
    return new Set(simultaneous.map(({ target }) => target)).size >
      MAX_SIMULTANEOUS_TARGETS;
  }

  #removeExpired(now: number): void {
    this.#lost = this.#lost.filter(({ endedAt }) =>
      now - endedAt < LOST_ATTEMPT_RETENTION_MS
    );
    for (const [target, goneAt] of this.#goneAt) {
      if (now - goneAt >= GONE_TARGET_RETENTION_MS) this.#goneAt.delete(target);
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
  // A target that sent nothing may have been gone before it received the request.
  const wasAlive = isBroken || head !== undefined;
  return {
    digest,
    target,
    organisation: route.organisation,
    path: request.path,
    sentAt: attemptStartedAt,
    aliveAt: wasAlive
      ? attemptStartedAt
      : Math.min(attemptStartedAt, answeredAt),
    endedAt: now,
  };
}
