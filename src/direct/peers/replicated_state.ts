/**
 * State that entries replicate to each other because no store holds it: requests that
 * crashed targets, the limits that targets announce, and targets that announced that they
 * leave.
 *
 * @module
 */
import type { ReplicatedCrashes } from "../../entry/crash_watch.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import type {
  LeavingTarget,
  LeavingTargets,
} from "../../policy/leaving_targets.ts";
import type { TargetLimit, TargetLimits } from "../../policy/target_limits.ts";
import {
  EMPTY_DIGEST,
  type ReplicatedSection,
  SectionReplicator,
} from "./section_replicator.ts";
import type {
  CrashedRequestUpdate,
  LeavingTargetUpdate,
  ReplicatedStateUpdate,
  TargetLimitUpdate,
} from "../../messages/peer_types.ts";

/** A digest of each section of an entry's replicated state. */
export interface StateDigests {
  readonly crashes: string;
  readonly limits: string;
  readonly leaving: string;
}

/** Digests of an empty state. */
export const EMPTY_DIGESTS: StateDigests = {
  crashes: EMPTY_DIGEST,
  limits: EMPTY_DIGEST,
  leaving: EMPTY_DIGEST,
};

/** Options of {@link ReplicatedState}. */
export interface ReplicatedStateOptions {
  readonly crashes: ReplicatedCrashes;
  readonly limits: Pick<TargetLimits, "content" | "list">;
  readonly leaving: Pick<LeavingTargets, "content" | "list">;
  /** Called with another entry's state, with times converted to this process's clock. */
  readonly onCrashes: (requests: readonly CrashedRequest[]) => void;
  readonly onLimits: (limits: readonly TargetLimit[]) => void;
  readonly onLeaving: (targets: readonly LeavingTarget[]) => void;
}

/** The state of an entry that is replicated to other entries. */
export class ReplicatedState {
  readonly #options: ReplicatedStateOptions;

  /** Reads the sections from `options` whenever an update is created. */
  constructor(options: ReplicatedStateOptions) {
    this.#options = options;
  }

  /** Digests of the current state. */
  get digests(): StateDigests {
    const { crashes, limits, leaving } = this.#options;
    return {
      crashes: crashes.content,
      limits: limits.content,
      leaving: leaving.content,
    };
  }

  /** Creates a replicator for one other entry. */
  createReplicator(): StateReplicator {
    const { crashes, limits, leaving } = this.#options;
    return new StateReplicator({
      crashes: {
        get content() {
          return crashes.content;
        },
        list: (now) =>
          crashes.list().map((one) => encodeCrashedRequest(one, now)),
      },
      limits: {
        get content() {
          return limits.content;
        },
        list: (now) => limits.list().map((one) => encodeLimit(one, now)),
      },
      leaving: {
        get content() {
          return leaving.content;
        },
        list: (now) =>
          leaving.list().map((one) => encodeLeavingTarget(one, now)),
      },
    });
  }

  /** Applies the state of another entry; `now` is in milliseconds. */
  apply(
    { crashes, limits, leaving }: ReplicatedStateUpdate,
    now: number,
  ): void {
    const { onCrashes, onLimits, onLeaving } = this.#options;
    if (crashes?.items !== undefined) {
      onCrashes(crashes.items.map((one) => decodeCrashedRequest(one, now)));
    }
    if (limits?.items !== undefined) {
      onLimits(limits.items.map((one) => decodeLimit(one, now)));
    }
    if (leaving?.items !== undefined) {
      onLeaving(leaving.items.map((one) => decodeLeavingTarget(one, now)));
    }
  }
}

interface ReplicatedSections {
  readonly crashes: ReplicatedSection<CrashedRequestUpdate>;
  readonly limits: ReplicatedSection<TargetLimitUpdate>;
  readonly leaving: ReplicatedSection<LeavingTargetUpdate>;
}

/** Replicates the state of this entry to one other entry. */
export class StateReplicator {
  readonly #crashes: SectionReplicator<CrashedRequestUpdate>;
  readonly #limits: SectionReplicator<TargetLimitUpdate>;
  readonly #leaving: SectionReplicator<LeavingTargetUpdate>;

  /** Starts with nothing sent. */
  constructor({ crashes, limits, leaving }: ReplicatedSections) {
    this.#crashes = new SectionReplicator(crashes);
    this.#limits = new SectionReplicator(limits);
    this.#leaving = new SectionReplicator(leaving);
  }

  /**
   * Creates the update for an entry whose state has the digests `other`; `now` is in
   * milliseconds.
   *
   * @example
   * ```ts
   * const update = replicator.createUpdate(EMPTY_DIGESTS, performance.now());
   * ```
   */
  createUpdate(other: StateDigests, now: number): ReplicatedStateUpdate {
    return {
      crashes: this.#crashes.tryCreateUpdate(other.crashes, now),
      limits: this.#limits.tryCreateUpdate(other.limits, now),
      leaving: this.#leaving.tryCreateUpdate(other.leaving, now),
    };
  }
}

/**
 * Returns the digests of the state of an update's sender.
 *
 * @example
 * ```ts
 * const digests = getDigests(query.memories);
 * ```
 */
export function getDigests(update: ReplicatedStateUpdate): StateDigests {
  return {
    crashes: update.crashes?.content ?? EMPTY_DIGEST,
    limits: update.limits?.content ?? EMPTY_DIGEST,
    leaving: update.leaving?.content ?? EMPTY_DIGEST,
  };
}

/**
 * Whether two entries have the same state.
 *
 * @example
 * ```ts
 * if (!areDigestsEqual(digests, replicatedState.digests)) sendUpdate();
 * ```
 */
export function areDigestsEqual(
  left: StateDigests,
  right: StateDigests,
): boolean {
  return left.crashes === right.crashes && left.limits === right.limits &&
    left.leaving === right.leaving;
}

function encodeCrashedRequest(
  { request, crashes, servedAt, refusedAt }: CrashedRequest,
  now: number,
): CrashedRequestUpdate {
  return {
    request,
    crashes: crashes.map(({ target, aliveAt, endedAt }) => ({
      target,
      aliveAgeMs: getAge(aliveAt, now),
      endedAgeMs: getAge(endedAt, now),
    })),
    servedAgeMs: servedAt === undefined ? undefined : getAge(servedAt, now),
    refusedAgeMs: refusedAt === undefined ? undefined : getAge(refusedAt, now),
  };
}

function decodeCrashedRequest(
  { request, crashes, servedAgeMs, refusedAgeMs }: CrashedRequestUpdate,
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
    refusedAt: refusedAgeMs === undefined ? undefined : now - refusedAgeMs,
  };
}

function encodeLimit(
  { target, perSecond, version, heardAt }: TargetLimit,
  now: number,
): TargetLimitUpdate {
  return { target, perSecond, version, ageMs: getAge(heardAt, now) };
}

function decodeLimit(
  { target, perSecond, version, ageMs }: TargetLimitUpdate,
  now: number,
): TargetLimit {
  return { target, perSecond, version, heardAt: now - ageMs };
}

function encodeLeavingTarget(
  { target, knownAt }: LeavingTarget,
  now: number,
): LeavingTargetUpdate {
  return { target, ageMs: getAge(knownAt, now) };
}

function decodeLeavingTarget(
  { target, ageMs }: LeavingTargetUpdate,
  now: number,
): LeavingTarget {
  return { target, knownAt: now - ageMs };
}

function getAge(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}
