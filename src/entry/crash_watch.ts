/**
 * Correlates attempts that ended without an answer with targets that are gone, to detect
 * which requests, and which parts of prompts, crashed targets.
 *
 * An attempt ends without an answer when its target crashes, but also for many other
 * reasons. The entry learns that a target is gone seconds after the attempt ended, or
 * before that if the target stopped answering without closing its connections. Only both
 * together count as a crash.
 *
 * @module
 */
import { type CrashedRequest, CrashHistory } from "../policy/crash_history.ts";
import {
  isPartId,
  PoisonParts,
  TRIAL_INTERVAL_MS,
} from "../policy/poison_parts.ts";
import {
  createCrashRecord,
  createPartAllowedRecord,
  createPartRefusedRecord,
} from "./decision_records.ts";
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
 * Number of other targets at which attempts end together with one that makes it no crash
 * under a request: power, a rack or the network was lost.
 */
const MASS_FAILURE_TARGETS = 2;
/** Lowest HTTP status of an error, which a target may send without running a request. */
const MIN_ERROR_STATUS = 400;
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

/** Why a request is refused that would crash the next target. */
export type CrashRefusal =
  | { readonly reason: "CRASHES_TARGETS"; readonly freeInMs: number }
  | {
    readonly reason: "PROMPT_PART_CRASHES_TARGETS";
    readonly freeInMs: number;
    readonly partId: string;
  };

/** Detects requests, and parts of prompts, that crash targets. */
export class CrashWatch implements ReplicatedCrashes {
  readonly #history = new CrashHistory();
  readonly #parts: PoisonParts;
  /** Refused parts that were logged. */
  #refusedParts: ReadonlySet<string> = new Set();
  /** Returns when a target last answered anything, in milliseconds; 0 if it never did. */
  readonly #getAnsweredAt: (target: string) => number;
  #lost: LostAttempt[] = [];
  /** Targets that are gone, with the time at which this entry learned of it. */
  readonly #goneAt = new Map<string, number>();
  /** Targets that other ranks reported as lost, with the time of the last report. */
  readonly #reportedLostAt = new Map<string, number>();

  /** Starts without any known crash. */
  constructor(
    entryName: string,
    getAnsweredAt: (target: string) => number,
  ) {
    this.#parts = new PoisonParts(entryName);
    this.#getAnsweredAt = getAnsweredAt;
  }

  get content(): string {
    const contents = [this.#history.content, this.#parts.content];
    return contents.every((content) => content === "")
      ? ""
      : contents.join(" ");
  }

  list(): readonly CrashedRequest[] {
    return [...this.#history.list(), ...this.#parts.list()];
  }

  /** Sets the names of all entries, including this one. */
  setEntries(names: readonly string[]): void {
    this.#parts.setEntries(names);
  }

  /** Records that a request arrived. */
  recordArrival(inFlight: InFlightRequest): void {
    this.#parts.recordArrival(inFlight.partIds);
  }

  /**
   * Returns why a request may not run, if it or a part of its prompt has crashed several
   * targets in a row.
   */
  tryFindRefusal(
    inFlight: InFlightRequest,
    now: number,
  ): CrashRefusal | undefined {
    const requestId = inFlight.request.id;
    const part = this.#parts.tryFindRefused(inFlight.partIds, {
      requestId,
      now,
    });
    if (part !== undefined) {
      return {
        reason: "PROMPT_PART_CRASHES_TARGETS",
        freeInMs: Math.max(part.remainingMs, TRIAL_INTERVAL_MS),
        partId: part.id,
      };
    }
    if (this.#history.isEmpty) return undefined;
    const freeInMs = this.#history.getRemainingRefusalMs(inFlight.digest, now);
    return freeInMs === 0 ? undefined : { reason: "CRASHES_TARGETS", freeInMs };
  }

  /** Whether the request, or a part of its prompt, may have crashed a target before. */
  hasCrashed(inFlight: InFlightRequest): boolean {
    return this.#hasRequestCrashed(inFlight) ||
      this.#parts.hasCrashes(inFlight.partIds);
  }

  #hasRequestCrashed(inFlight: InFlightRequest): boolean {
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
    if (this.#goneAt.has(targetName)) {
      return this.#recordCrashes([lost], end.now);
    }
    return this.#reportedLostAt.has(targetName)
      ? this.#recordPartCrashes([lost], end.now)
      : [];
  }

  /**
   * Records that another rank reported a target as lost. That is known seconds before its
   * registration ends, but it may only be cut off. So it counts against parts of prompts,
   * which are refused after several crashes only, and not against whole requests.
   */
  recordReportedLost(target: string, now: number): readonly EntryEffect[] {
    const isKnown = this.#reportedLostAt.has(target);
    this.#reportedLostAt.set(target, now);
    if (isKnown) return [];
    const lost = this.#lost.filter((attempt) => attempt.target === target);
    return this.#recordPartCrashes(lost, now);
  }

  #recordPartCrashes(
    lost: readonly LostAttempt[],
    now: number,
  ): readonly EntryEffect[] {
    const added = lost.flatMap((attempt) =>
      this.#parts.recordCrash(attempt.partIds, attempt, now)
    );
    return added.length === 0
      ? []
      : [...this.#updateRefusedParts(now), REPLICATED_STATE_CHANGED];
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
    const hasRequestChanged = this.#hasRequestCrashed(inFlight) &&
      this.#history.recordServed(inFlight.digest, now);
    const havePartsChanged = isProofOfService(inFlight) &&
      this.#parts.recordServed(inFlight.partIds, now);
    return hasRequestChanged || havePartsChanged
      ? [...this.#updateRefusedParts(now), REPLICATED_STATE_CHANGED]
      : [];
  }

  /** Merges the crashes that another entry replicated. */
  mergeCrashes({ requests, now }: CrashesReceived): readonly EntryEffect[] {
    const ofParts = requests.filter(({ request }) => isPartId(request));
    const ofRequests = requests.filter(({ request }) => !isPartId(request));
    const hasRequestChanged = this.#history.merge(ofRequests, now);
    const havePartsChanged = this.#parts.merge(ofParts, now);
    return hasRequestChanged || havePartsChanged
      ? [...this.#updateRefusedParts(now), REPLICATED_STATE_CHANGED]
      : [];
  }

  /** Decides on parts that have been the likely cause of crashes for long enough. */
  advanceTo(now: number): readonly EntryEffect[] {
    if (!this.#parts.hasLikelyCauses) return [];
    const records = this.#updateRefusedParts(now);
    return records.length === 0 ? [] : [...records, REPLICATED_STATE_CHANGED];
  }

  /** Decides which parts are refused, and logs those that are newly so, or no longer. */
  #updateRefusedParts(now: number): readonly EntryEffect[] {
    this.#parts.updateRefused(this.#history.listRefusedTargets(now), now);
    const refused = this.#parts.listRefused(now);
    const previous = this.#refusedParts;
    this.#refusedParts = new Set(refused.map(({ id }) => id));
    const added = refused.filter(({ id }) => !previous.has(id));
    const removed = [...previous].filter((id) => !this.#refusedParts.has(id));
    return [
      ...added.map((part) => createPartRefusedRecord(part)),
      ...removed.map((id) => createPartAllowedRecord(id)),
    ];
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
    const ofParts = this.#recordPartCrashes(lost, now);
    return records.length === 0 || ofParts.length > 0
      ? [...records, ...ofParts]
      : [...records, REPLICATED_STATE_CHANGED];
  }

  /**
   * Whether attempts at many targets ended together with this one. Targets that ran the
   * same request do not count: it may be sent to several targets at the same time, as the
   * group that it waits for opens, and crash them all.
   */
  #isMassFailure({ digest, endedAt }: LostAttempt): boolean {
    const simultaneous = this.#lost.filter((other) =>
      Math.abs(other.endedAt - endedAt) <= SIMULTANEOUS_WINDOW_MS
    );
    const own = simultaneous.filter((other) => other.digest === digest);
    const targets = new Set(simultaneous.map(({ target }) => target));
    for (const { target } of own) targets.delete(target);
    return targets.size >= MASS_FAILURE_TARGETS;
  }

  #removeExpired(now: number): void {
    this.#lost = this.#lost.filter(({ endedAt }) =>
      now - endedAt < LOST_ATTEMPT_RETENTION_MS
    );
    for (const times of [this.#goneAt, this.#reportedLostAt]) {
      for (const [target, at] of times) {
        if (now - at >= GONE_TARGET_RETENTION_MS) times.delete(target);
      }
    }
  }
}

/**
 * Whether an answer shows that its target survived the request. An answer that ends with
 * its connection may end so because its target crashed.
 */
function isProofOfService({ head }: InFlightRequest): boolean {
  return head !== undefined && head.status < MIN_ERROR_STATUS &&
    head.endsWithConnection !== true;
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
  const { attemptStartedAt, digest, head, partIds, request, route } = inFlight;
  // A target that sent nothing may have been gone before it received the request.
  const wasAlive = isBroken || head !== undefined;
  return {
    digest,
    partIds,
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
