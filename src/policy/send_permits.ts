/**
 * Who may send to a target that has a limit: one that it has named, or that holds while it
 * warms up.
 *
 * The pattern: a server in need takes few requests a second from a whole fleet of entries,
 * often fewer than there are entries. An entry's share by itself is then far below one
 * request, and what each lets through alone adds up to many times the limit.
 *
 * So for each target one entry gives permits out of one token bucket: the first by the hash
 * of target and entry, which every entry finds from the list of entries by itself. It needs
 * no permit, and sends the target what comes to it. Others leave the target to it while they
 * have other targets; without one they ask it for permits, which soon end by themselves.
 *
 * Lists differ for a while as entries come and go, and the first may not be reached. The
 * second then gives permits, and so does a new first one until the old one has heard of it,
 * both at a part of the limit that the target can bear beside the whole of it.
 *
 * @module
 */
import { getRendezvousRank } from "../core/rendezvous_hash.ts";
import { getBucketOptions, getPermitMs } from "./permit_bounds.ts";
import type { SendLimits } from "./send_limits.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Milliseconds after which an entry that was asked is taken for unreachable. */
export const ASK_LIMIT_MS = 300;
/** Milliseconds for which one that could not be asked is passed over. */
const UNREACHABLE_MS = 2000;
/** Milliseconds until all entries know that one has come or gone. */
const SETTLED_AFTER_MS = 5000;
/** Part of a limit that is given beside the entry that gives the whole. */
const DEPUTY_PART = 0.25;
/** Milliseconds after which the first entry sends to a target before all others. */
const PROBE_AFTER_MS = 1000;
/** Milliseconds between two questions for permits ahead of need. */
const AHEAD_MS = 200;
/**
 * Entries ranked at one moment for targets that warm up, at most; one target is always
 * ranked. A rank takes some 3 us, and a failure domain's targets may come back together.
 */
const MOST_RANKED = 1024;
/** Permits asked for at once, at most. */
const MOST_ASKED = 8;
/** Milliseconds in which those who were sent away count as a queue. */
const QUEUE_MS = 1000;
/** Bounds of the time after which one that got no permit may ask again, in milliseconds. */
const SHORTEST_WAIT_MS = 20;
const LONGEST_WAIT_MS = 10_000;

/** Asks an entry for permits. */
export interface PermitQuestion {
  readonly target: string;
  /** The entry that is asked. */
  readonly entry: string;
  readonly count: number;
}

/** What an entry that was asked gives. */
export interface PermitAnswer {
  readonly granted: number;
  /** Milliseconds after which asking again makes sense, where none was given. */
  readonly waitMs: number;
}

/** What became of a question. */
export interface PermitOutcome {
  readonly target: string;
  readonly entry: string;
  /** When it was asked, in milliseconds. */
  readonly askedAt: number;
  /** Undefined where no answer came. */
  readonly answer: PermitAnswer | undefined;
}

/** How a request may get a permit. */
export type PermitPlan =
  | { readonly kind: "ask"; readonly question: PermitQuestion }
  /** An answer is on its way. */
  | { readonly kind: "pending" }
  /** No target has any before so many milliseconds. */
  | { readonly kind: "none"; readonly freeInMs: number };

/** The entries that give permits for a target, the first one first. */
interface Givers {
  readonly first: string | undefined;
  readonly second: string | undefined;
}

interface TargetState {
  givers: Givers;
  /** Since when this entry is the first, in milliseconds. */
  firstSince: number;
  readonly bucket: TokenBucket;
  /** Until when each permit of this entry holds. */
  permits: number[];
  isAsking: boolean;
  askedAt: number;
  /** Before this it makes no sense to ask. */
  deniedUntil: number;
  sentAt: number;
  /** When others were last sent away without a permit. */
  sentAway: number[];
}

/** Who may send to targets that have limits. */
export class SendPermits {
  readonly #self: string;
  readonly #limits: SendLimits;
  readonly #states = new Map<string, TargetState>();
  readonly #unreachableUntil = new Map<string, number>();
  #entries: readonly string[] = [];
  #listedAt = Number.NEGATIVE_INFINITY;
  #rankedAt = Number.NEGATIVE_INFINITY;
  #ranked = 0;

  /** Begins without a list of entries, so that this one may send to no such target. */
  constructor(self: string, limits: SendLimits) {
    this.#self = self;
    this.#limits = limits;
  }

  /** The names of all entries, this one included. */
  setEntries(entries: readonly string[], now: number): void {
    const isSame = entries.length === this.#entries.length &&
      entries.every((entry) => this.#entries.includes(entry));
    if (isSame) return;
    this.#entries = entries;
    this.#listedAt = now;
    for (const [target, state] of this.#states) {
      const wasFirst = state.givers.first === this.#self;
      state.givers = findGivers(target, entries);
      if (!wasFirst) state.firstSince = now;
    }
  }

  /**
   * Whether a target may be sent a request now.
   *
   * @example
   * ```ts
   * const free = targets.filter(({ name }) => permits.maySend(name, now));
   * ```
   */
  maySend(target: string, now: number): boolean {
    const limit = this.#limits.tryGet(target);
    if (limit === undefined) return true;
    if (limit.isWarmUp && !this.#mayRank(target, now)) return false;
    const state = this.#stateOf(target, now);
    if (state.permits.some((until) => until > now)) return true;
    return this.#mayUseBucket(state, now) && state.bucket.getWaitMs(now) === 0;
  }

  /** A request goes to a target that may be sent one. */
  noteSent(target: string, now: number): void {
    if (this.#limits.tryGet(target) === undefined) return;
    const state = this.#stateOf(target, now);
    state.sentAt = now;
    state.permits = state.permits.filter((until) => until > now);
    if (state.permits.length > 0) state.permits.shift();
    else state.bucket.tryTake(now);
  }

  /** Whether a target should be sent the next request, so that its next word is heard. */
  isDue(target: string, now: number): boolean {
    const limit = this.#limits.tryGet(target);
    // Lists say when a target has warmed up; only named limits end by an answer.
    if (limit === undefined || limit.isWarmUp) return false;
    const state = this.#stateOf(target, now);
    return state.givers.first === this.#self &&
      now - state.sentAt >= PROBE_AFTER_MS && this.maySend(target, now);
  }

  /** Whether this entry is the first that gives permits for a target. */
  isFirstOf(target: string): boolean {
    return findGivers(target, this.#entries).first === this.#self;
  }

  /** Another entry asks for permits. */
  give(target: string, count: number, now: number): PermitAnswer {
    const wait = { granted: 0, waitMs: SHORTEST_WAIT_MS };
    // One that has not heard of the limit yet, or has heard of its end, is told soon.
    if (this.#limits.tryGet(target) === undefined) return wait;
    const state = this.#stateOf(target, now);
    if (!this.#isGiver(state)) return wait;
    let granted = 0;
    while (granted < count && state.bucket.tryTake(now)) granted++;
    if (granted > 0) return { granted, waitMs: 0 };
    return { granted, waitMs: this.#sendAway(state, now) };
  }

  /**
   * Whom to ask for some requests that may go to any of these targets, all limited. A
   * plan to ask is carried out by the caller, which tells the outcome to {@link noteOutcome}.
   */
  plan(
    targets: readonly string[],
    count: number,
    now: number,
  ): PermitPlan {
    for (const target of targets) {
      const question = this.#tryAsk(target, count, now);
      if (question !== undefined) return { kind: "ask", question };
    }
    const states = targets.map((target) => this.#stateOf(target, now));
    if (states.some(({ isAsking }) => isAsking)) return { kind: "pending" };
    const freeAt = Math.min(...states.map(({ deniedUntil }) => deniedUntil));
    return { kind: "none", freeInMs: Math.max(SHORTEST_WAIT_MS, freeAt - now) };
  }

  /**
   * Whom to ask for permits ahead of need: where a limit is high, each entry has a share of
   * some requests a second, and the target would miss those of all but one.
   */
  tryPlanAhead(target: string, now: number): PermitQuestion | undefined {
    const limit = this.#limits.tryGet(target);
    const share = (limit?.perSecond ?? 0) / Math.max(1, this.#entries.length);
    // With less than one request in its lifetime a permit asked for ahead would expire unused.
    if (share * getPermitMs(limit) < 1000) return undefined;
    if (this.maySend(target, now)) return undefined;
    const state = this.#stateOf(target, now);
    if (now - state.askedAt < AHEAD_MS) return undefined;
    return this.#tryAsk(target, Math.ceil(share * AHEAD_MS / 1000), now);
  }

  /** What became of a question. */
  noteOutcome(
    { target, entry, askedAt, answer }: PermitOutcome,
    now: number,
  ): void {
    const state = this.#states.get(target);
    if (state === undefined) return;
    state.isAsking = false;
    if (answer === undefined) {
      this.#unreachableUntil.set(entry, now + UNREACHABLE_MS);
      return;
    }
    this.#unreachableUntil.delete(entry);
    const until = askedAt + getPermitMs(this.#limits.tryGet(target));
    for (let permit = 0; permit < answer.granted; permit++) {
      state.permits.push(until);
    }
    if (answer.granted === 0) state.deniedUntil = now + answer.waitMs;
  }

  /** Targets without a limit need no state. */
  forgetUnlimited(): void {
    for (const target of this.#states.keys()) {
      if (this.#limits.tryGet(target) === undefined) {
        this.#states.delete(target);
      }
    }
  }

  #stateOf(target: string, now: number): TargetState {
    const state = this.#states.get(target) ?? this.#createState(target, now);
    this.#states.set(target, state);
    const limit = this.#limits.tryGet(target);
    const part = this.#partOf(state, now);
    state.bucket.setOptions(getBucketOptions(limit, part), now);
    return state;
  }

  /** Whether the entries that give permits for a target are known, or may be found now. */
  #mayRank(target: string, now: number): boolean {
    if (this.#states.has(target)) return true;
    if (now > this.#rankedAt) this.#ranked = 0;
    this.#rankedAt = now;
    const entries = this.#entries.length;
    if (this.#ranked > 0 && this.#ranked + entries > MOST_RANKED) return false;
    this.#ranked += entries;
    return true;
  }

  #createState(target: string, now: number): TargetState {
    return {
      givers: findGivers(target, this.#entries),
      firstSince: this.#listedAt,
      bucket: new TokenBucket({ perSecond: 0, burst: 1 }, now),
      permits: [],
      isAsking: false,
      askedAt: Number.NEGATIVE_INFINITY,
      deniedUntil: Number.NEGATIVE_INFINITY,
      sentAt: Number.NEGATIVE_INFINITY,
      sentAway: [],
    };
  }

  /** Part of a target's limit that this entry gives. */
  #partOf({ givers, firstSince }: TargetState, now: number): number {
    const isSettled = now - firstSince >= SETTLED_AFTER_MS;
    if (givers.first === this.#self) return isSettled ? 1 : DEPUTY_PART;
    return givers.second === this.#self ? DEPUTY_PART : 0;
  }

  #isGiver({ givers }: TargetState): boolean {
    return givers.first === this.#self || givers.second === this.#self;
  }

  /** Whether this entry may take from its own bucket. */
  #mayUseBucket(state: TargetState, now: number): boolean {
    return this.#giverOf(state, now) === this.#self;
  }

  /** The entry to ask; undefined while none can be reached. */
  #giverOf({ givers }: TargetState, now: number): string | undefined {
    return [givers.first, givers.second].find((entry) =>
      entry !== undefined &&
      (this.#unreachableUntil.get(entry) ?? now) <= now
    );
  }

  #tryAsk(
    target: string,
    count: number,
    now: number,
  ): PermitQuestion | undefined {
    const state = this.#stateOf(target, now);
    if (state.isAsking || state.deniedUntil > now) return undefined;
    const entry = this.#giverOf(state, now);
    if (entry === undefined || entry === this.#self) {
      state.deniedUntil = now + this.#ownWaitMs(state, entry, now);
      return undefined;
    }
    state.isAsking = true;
    state.askedAt = now;
    return { target, entry, count: Math.min(count, MOST_ASKED) };
  }

  #ownWaitMs(
    { bucket }: TargetState,
    entry: string | undefined,
    now: number,
  ): number {
    if (entry === undefined) return UNREACHABLE_MS;
    return boundWait(bucket.getWaitMs(now));
  }

  /** Milliseconds until one that is sent away may be let through, after those before it. */
  #sendAway(state: TargetState, now: number): number {
    state.sentAway = state.sentAway.filter((at) => now - at < QUEUE_MS);
    const waitMs = state.bucket.getWaitMs(now) * (1 + state.sentAway.length);
    state.sentAway.push(now);
    return boundWait(waitMs);
  }
}

function boundWait(milliseconds: number): number {
  return Math.min(LONGEST_WAIT_MS, Math.max(SHORTEST_WAIT_MS, milliseconds));
}

function findGivers(target: string, entries: readonly string[]): Givers {
  const [first, second] = entries
    .map((entry) => ({ entry, rank: getRendezvousRank(target, entry) }))
    .sort((left, right) => left.rank < right.rank ? -1 : 1)
    .map(({ entry }) => entry);
  return { first, second };
}
