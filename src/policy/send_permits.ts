/**
 * Decides which entry may send to a target that has a limit: one that the target has
 * announced, or one that applies while it warms up.
 *
 * An overloaded target accepts few requests a second from all entries together, often
 * fewer than there are entries. The share of one entry is then far below one request, and
 * entries that each apply the limit alone would exceed it many times over.
 *
 * So one entry for each target issues permits from a token bucket: the first by the hash
 * of target and entry, which every entry computes from the list of entries. This primary
 * issuer needs no permits itself. Other entries avoid the target while they can use
 * others; otherwise they request permits from the issuer, which expire after a short
 * time.
 *
 * Lists of entries differ for a while after an entry joins or leaves, and the primary
 * issuer may be unreachable. A secondary issuer then issues permits, and so does a new
 * primary issuer until the old one has received the new list, both at a share of the
 * limit that the target can take in addition to the whole limit.
 *
 * @module
 */
import { getRendezvousRank } from "../core/rendezvous_hash.ts";
import { getBucketOptions, getPermitLifetimeMs } from "./permit_bounds.ts";
import type { SendLimits } from "./send_limits.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Milliseconds after which an unanswered permit request counts as failed. */
export const PERMIT_TIMEOUT_MS = 300;
/** Milliseconds for which an unreachable issuer is skipped. */
const UNREACHABLE_MS = 2000;
/** Milliseconds until all entries know that an entry has joined or left. */
const SETTLED_AFTER_MS = 5000;
/** Share of the limit issued in addition by a secondary or a new primary issuer. */
const SECONDARY_SHARE = 0.25;
/**
 * Milliseconds after its last request to a target from which on the primary issuer
 * prefers that target for the next one.
 */
const PROBE_INTERVAL_MS = 1000;
/** Milliseconds between two permit requests ahead of need. */
const PREFETCH_INTERVAL_MS = 200;
/**
 * Maximum number of entries ranked at one moment for targets that warm up; one target is
 * always ranked. Ranking an entry takes about 3 us, and the targets of a failure domain
 * may all return at the same time.
 */
const MAX_RANKED = 1024;
/** Maximum number of permits in one request. */
const MAX_REQUESTED = 8;
/** Milliseconds for which a denied request counts as waiting for a permit. */
const DENIED_WINDOW_MS = 1000;
/** Bounds, in milliseconds, of the delay after which a denied entry may request again. */
const MIN_WAIT_MS = 20;
const MAX_WAIT_MS = 10_000;

/** A request to another entry for permits. */
export interface PermitRequest {
  readonly target: string;
  /** The entry that receives the request. */
  readonly entry: string;
  readonly count: number;
}

/** The response of an issuer. */
export interface PermitResponse {
  readonly granted: number;
  /** Milliseconds after which another request may succeed, if none was granted. */
  readonly waitMs: number;
}

/** The outcome of a permit request. */
export interface PermitOutcome {
  readonly target: string;
  readonly entry: string;
  /** When the request was sent, in milliseconds. */
  readonly askedAt: number;
  /** Undefined if no response arrived. */
  readonly answer: PermitResponse | undefined;
}

/** How a request may get a permit. */
export type PermitPlan =
  | { readonly kind: "ask"; readonly request: PermitRequest }
  /** A response is pending. */
  | { readonly kind: "pending" }
  /** No target has a permit available for this many milliseconds. */
  | { readonly kind: "none"; readonly freeInMs: number };

/** The entries that issue permits for a target. */
interface Issuers {
  readonly primary: string | undefined;
  readonly secondary: string | undefined;
}

interface TargetState {
  issuers: Issuers;
  /** Since when this entry is the primary issuer, in milliseconds. */
  primarySince: number;
  readonly bucket: TokenBucket;
  /** Expiry times of the permits that this entry holds. */
  permitExpiries: number[];
  isPending: boolean;
  requestedAt: number;
  /** Time before which permits are not requested, in milliseconds. */
  deniedUntil: number;
  sentAt: number;
  /** Times at which requests of others were recently denied. */
  deniedAt: number[];
}

/** Decides which entry may send to targets that have limits. */
export class SendPermits {
  readonly #self: string;
  readonly #limits: SendLimits;
  readonly #states = new Map<string, TargetState>();
  readonly #unreachableUntil = new Map<string, number>();
  #entries: readonly string[] = [];
  #listedAt = Number.NEGATIVE_INFINITY;
  #rankedAt = Number.NEGATIVE_INFINITY;
  #ranked = 0;

  /**
   * Starts without a list of entries; until there is one, targets with a limit are not
   * used.
   */
  constructor(self: string, limits: SendLimits) {
    this.#self = self;
    this.#limits = limits;
  }

  /** Sets the names of all entries, including this one. */
  setEntries(entries: readonly string[], now: number): void {
    const isSame = entries.length === this.#entries.length &&
      entries.every((entry) => this.#entries.includes(entry));
    if (isSame) return;
    this.#entries = entries;
    this.#listedAt = now;
    for (const [target, state] of this.#states) {
      const wasPrimary = state.issuers.primary === this.#self;
      state.issuers = findIssuers(target, entries);
      if (!wasPrimary) state.primarySince = now;
    }
  }

  /**
   * Whether a request may be sent to a target now.
   *
   * @example
   * ```ts
   * const free = targets.filter(({ name }) => permits.maySend(name, now));
   * ```
   */
  maySend(target: string, now: number): boolean {
    const limit = this.#limits.tryGet(target);
    if (limit === undefined) return true;
    if (limit.isWarmUp && !this.#mayComputeIssuers(target, now)) return false;
    const state = this.#getState(target, now);
    if (state.permitExpiries.some((expiresAt) => expiresAt > now)) return true;
    return this.#mayUseBucket(state, now) && state.bucket.getWaitMs(now) === 0;
  }

  /** Records that a request is sent to a target that {@link maySend} allowed. */
  recordSent(target: string, now: number): void {
    if (this.#limits.tryGet(target) === undefined) return;
    const state = this.#getState(target, now);
    state.sentAt = now;
    state.permitExpiries = state.permitExpiries.filter((expiresAt) =>
      expiresAt > now
    );
    if (state.permitExpiries.length > 0) state.permitExpiries.shift();
    else state.bucket.tryTake(now);
  }

  /**
   * Whether the next request should go to this target so that its current limit is
   * learned.
   */
  isProbeDue(target: string, now: number): boolean {
    const limit = this.#limits.tryGet(target);
    // Lists report when a target has warmed up; only announced limits end by an answer.
    if (limit === undefined || limit.isWarmUp) return false;
    const state = this.#getState(target, now);
    return state.issuers.primary === this.#self &&
      now - state.sentAt >= PROBE_INTERVAL_MS && this.maySend(target, now);
  }

  /** Whether this entry is the primary issuer for a target. */
  isPrimaryIssuer(target: string): boolean {
    return findIssuers(target, this.#entries).primary === this.#self;
  }

  /** Issues permits that another entry requests. */
  issue(target: string, count: number, now: number): PermitResponse {
    const denial = { granted: 0, waitMs: MIN_WAIT_MS };
    // Both entries will soon agree on whether there is a limit, so the other one may
    // retry soon.
    if (this.#limits.tryGet(target) === undefined) return denial;
    const state = this.#getState(target, now);
    if (!this.#isIssuer(state)) return denial;
    let granted = 0;
    while (granted < count && state.bucket.tryTake(now)) granted++;
    if (granted > 0) return { granted, waitMs: 0 };
    return { granted, waitMs: this.#deny(state, now) };
  }

  /**
   * Plans how to get permits for `count` requests that may go to any of these targets,
   * all of which have limits. The caller sends a planned request and reports its outcome
   * to {@link recordOutcome}.
   */
  planRequest(
    targets: readonly string[],
    count: number,
    now: number,
  ): PermitPlan {
    for (const target of targets) {
      const request = this.#tryCreateRequest(target, count, now);
      if (request !== undefined) return { kind: "ask", request };
    }
    const states = targets.map((target) => this.#getState(target, now));
    if (states.some(({ isPending }) => isPending)) return { kind: "pending" };
    const availableAt = Math.min(
      ...states.map(({ deniedUntil }) => deniedUntil),
    );
    return { kind: "none", freeInMs: Math.max(MIN_WAIT_MS, availableAt - now) };
  }

  /**
   * Plans a permit request ahead of need. If the limit is high, each entry's share is
   * some requests a second, which the target would miss if only the primary issuer sent
   * to it.
   */
  tryPlanPrefetch(target: string, now: number): PermitRequest | undefined {
    const limit = this.#limits.tryGet(target);
    const share = (limit?.perSecond ?? 0) / Math.max(1, this.#entries.length);
    // If the share is less than one request per permit lifetime, a prefetched permit
    // would expire unused.
    if (share * getPermitLifetimeMs(limit) < 1000) return undefined;
    if (this.maySend(target, now)) return undefined;
    const state = this.#getState(target, now);
    if (now - state.requestedAt < PREFETCH_INTERVAL_MS) return undefined;
    return this.#tryCreateRequest(
      target,
      Math.ceil(share * PREFETCH_INTERVAL_MS / 1000),
      now,
    );
  }

  /** Records the outcome of a permit request. */
  recordOutcome(
    { target, entry, askedAt, answer }: PermitOutcome,
    now: number,
  ): void {
    const state = this.#states.get(target);
    if (state === undefined) return;
    state.isPending = false;
    if (answer === undefined) {
      this.#unreachableUntil.set(entry, now + UNREACHABLE_MS);
      return;
    }
    this.#unreachableUntil.delete(entry);
    const expiresAt = askedAt +
      getPermitLifetimeMs(this.#limits.tryGet(target));
    for (let permit = 0; permit < answer.granted; permit++) {
      state.permitExpiries.push(expiresAt);
    }
    if (answer.granted === 0) state.deniedUntil = now + answer.waitMs;
  }

  /** Removes the state of targets that no longer have a limit. */
  removeUnlimited(): void {
    for (const target of this.#states.keys()) {
      if (this.#limits.tryGet(target) === undefined) {
        this.#states.delete(target);
      }
    }
  }

  #getState(target: string, now: number): TargetState {
    const state = this.#states.get(target) ?? this.#createState(target, now);
    this.#states.set(target, state);
    const limit = this.#limits.tryGet(target);
    const share = this.#getShare(state, now);
    state.bucket.setOptions(getBucketOptions(limit, share), now);
    return state;
  }

  /** Whether the issuers for a target are known, or may be computed now. */
  #mayComputeIssuers(target: string, now: number): boolean {
    if (this.#states.has(target)) return true;
    if (now > this.#rankedAt) this.#ranked = 0;
    this.#rankedAt = now;
    const entries = this.#entries.length;
    if (this.#ranked > 0 && this.#ranked + entries > MAX_RANKED) return false;
    this.#ranked += entries;
    return true;
  }

  #createState(target: string, now: number): TargetState {
    return {
      issuers: findIssuers(target, this.#entries),
      primarySince: this.#listedAt,
      bucket: new TokenBucket({ perSecond: 0, burst: 1 }, now),
      permitExpiries: [],
      isPending: false,
      requestedAt: Number.NEGATIVE_INFINITY,
      deniedUntil: Number.NEGATIVE_INFINITY,
      sentAt: Number.NEGATIVE_INFINITY,
      deniedAt: [],
    };
  }

  /** Returns the share of a target's limit that this entry issues. */
  #getShare(
    { issuers, primarySince }: TargetState,
    now: number,
  ): number {
    const isSettled = now - primarySince >= SETTLED_AFTER_MS;
    if (issuers.primary === this.#self) return isSettled ? 1 : SECONDARY_SHARE;
    return issuers.secondary === this.#self ? SECONDARY_SHARE : 0;
  }

  #isIssuer({ issuers }: TargetState): boolean {
    return issuers.primary === this.#self || issuers.secondary === this.#self;
  }

  /** Whether this entry may take from its own bucket. */
  #mayUseBucket(state: TargetState, now: number): boolean {
    return this.#tryFindIssuer(state, now) === this.#self;
  }

  /** Returns the issuer to use; undefined if none is reachable. */
  #tryFindIssuer(
    { issuers }: TargetState,
    now: number,
  ): string | undefined {
    return [issuers.primary, issuers.secondary].find((entry) =>
      entry !== undefined &&
      (this.#unreachableUntil.get(entry) ?? now) <= now
    );
  }

  #tryCreateRequest(
    target: string,
    count: number,
    now: number,
  ): PermitRequest | undefined {
    const state = this.#getState(target, now);
    if (state.isPending || state.deniedUntil > now) return undefined;
    const entry = this.#tryFindIssuer(state, now);
    if (entry === undefined || entry === this.#self) {
      state.deniedUntil = now + this.#getOwnWaitMs(state, entry, now);
      return undefined;
    }
    state.isPending = true;
    state.requestedAt = now;
    return { target, entry, count: Math.min(count, MAX_REQUESTED) };
  }

  #getOwnWaitMs(
    { bucket }: TargetState,
    entry: string | undefined,
    now: number,
  ): number {
    if (entry === undefined) return UNREACHABLE_MS;
    return boundWait(bucket.getWaitMs(now));
  }

  /**
   * Records a denied request; returns the milliseconds until one may succeed after those
   * denied before it.
   */
  #deny(state: TargetState, now: number): number {
    state.deniedAt = state.deniedAt.filter((at) => now - at < DENIED_WINDOW_MS);
    const waitMs = state.bucket.getWaitMs(now) * (1 + state.deniedAt.length);
    state.deniedAt.push(now);
    return boundWait(waitMs);
  }
}

function boundWait(milliseconds: number): number {
  return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, milliseconds));
}

function findIssuers(target: string, entries: readonly string[]): Issuers {
  const [primary, secondary] = entries
    .map((entry) => ({ entry, rank: getRendezvousRank(target, entry) }))
    .sort((left, right) => left.rank < right.rank ? -1 : 1)
    .map(({ entry }) => entry);
  return { primary, secondary };
}
