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
import type { InFlightRequest } from "./in_flight_request.ts";

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
 * Targets at which attempts break within so many milliseconds beyond which power, a rack or
 * the network was lost: a request runs at one or two at a time.
 */
const MOST_AT_ONCE = 2;
const AT_ONCE_MS = 100;

/** An attempt that ended without an answer, and may have run. */
export interface LostAttempt {
  readonly digest: string;
  readonly target: string;
  readonly organisation: string;
  readonly path: string;
  readonly sentAt: number;
  /** When the target was last known to live, in milliseconds. */
  readonly aliveAt: number;
  readonly endedAt: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  readonly now: number;
  /** Whether its connection broke; otherwise nobody waits for it any more. */
  readonly isBroken: boolean;
  /** When its target last answered anything, in milliseconds. */
  readonly answeredAt: number;
}

/** A target that ended under a request. */
export interface NotedCrash extends LostAttempt {
  /** Milliseconds for which the request is refused now; 0: it may run. */
  readonly refusedMs: number;
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
  #lost: LostAttempt[] = [];
  /** Targets that are gone, with the time at which that was heard. */
  readonly #goneAt = new Map<string, number>();

  get content(): string {
    return this.#history.content;
  }

  list(): readonly CrashedRequest[] {
    return this.#history.list();
  }

  /** Milliseconds for which a request is refused yet; 0: it may run. */
  getRefusedMs(inFlight: InFlightRequest, now: number): number {
    if (this.#history.isEmpty) return 0;
    return this.#history.getRefusedMs(inFlight.digest, now);
  }

  /** Whether a target has ended under the request before. */
  hasCrashed(inFlight: InFlightRequest): boolean {
    return !this.#history.isEmpty && this.#history.hasCrashed(inFlight.digest);
  }

  /** The attempt under way has ended without an answer, and may have run. */
  noteLost(
    inFlight: InFlightRequest,
    end: AttemptEnd,
  ): readonly NotedCrash[] {
    const lost = tryLostAttempt(inFlight, end);
    if (lost === undefined) return [];
    this.#lost.push(lost);
    if (this.#lost.length > MOST_LOST) this.#lost.shift();
    return this.#goneAt.has(lost.target) ? this.#note([lost], end.now) : [];
  }

  /** A target is gone without a word that it leaves. */
  noteGone(target: string, now: number): readonly NotedCrash[] {
    this.#forgetOld(now);
    this.#goneAt.set(target, now);
    return this.#note(
      this.#lost.filter((lost) => lost.target === target),
      now,
    );
  }

  /** A request was answered; returns whether that changed what is remembered. */
  noteServed(inFlight: InFlightRequest, now: number): boolean {
    return this.hasCrashed(inFlight) &&
      this.#history.noteServed(inFlight.digest, now);
  }

  /** Takes in what another entry remembers; returns whether it is news. */
  merge(told: readonly CrashedRequest[], now: number): boolean {
    return this.#history.merge(told, now);
  }

  #note(lost: readonly LostAttempt[], now: number): readonly NotedCrash[] {
    return lost
      .filter((one) => !this.#isOneOfMany(one))
      .filter((one) => this.#history.note(one.digest, one, now))
      .map((one) => ({
        ...one,
        refusedMs: this.#history.getRefusedMs(one.digest, now),
      }));
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

function tryLostAttempt(
  inFlight: InFlightRequest,
  { now, isBroken, answeredAt }: AttemptEnd,
): LostAttempt | undefined {
  const { targetName, attemptStartedAt, digest, head, request } = inFlight;
  if (targetName === undefined) return undefined;
  // One that is silent from the start may have been gone before it got the request.
  const hasLived = isBroken || head !== undefined;
  return {
    digest,
    target: targetName,
    organisation: inFlight.route.organisation,
    path: request.path,
    sentAt: attemptStartedAt,
    aliveAt: hasLived
      ? attemptStartedAt
      : Math.min(attemptStartedAt, answeredAt),
    endedAt: now,
  };
}
