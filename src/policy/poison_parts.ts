/**
 * Refuses prompts with a part that crashes each target that begins to answer them (a
 * poison part), whatever else the prompts contain.
 *
 * Every part of every request on a crashed target is suspect. An answer clears its parts:
 * a part that was answered not long before the crashes, or since, is not their cause. Of
 * the remaining parts, the one under which the most targets crashed is the cause, and of
 * several, the rarest: a poison part occurs in no harmless prompt. A part whose crashes
 * are all explained by another one, or by a whole request, stays allowed. A part that most
 * requests have is refused only if its losses cannot be put down to chance, as other
 * requests are answered meanwhile.
 *
 * Crashes, answers and decisions add up over all entries. No answer can clear a part that
 * all of them refuse, so after a time one entry sends one request with it to a target, to
 * find out whether the defect was fixed.
 *
 * @module
 */
import { getRendezvousRank } from "../core/rendezvous_hash.ts";
import { computeChance, isSolitary, separateInTime } from "./crash_chance.ts";
import {
  type Crash,
  type CrashedRequest,
  CrashHistory,
} from "./crash_history.ts";
import { PartTraffic } from "./part_traffic.ts";
import { PoolOutcomes } from "./pool_outcomes.ts";

/** Targets that have crashed under a part before it is refused. */
const TARGETS_TO_REFUSE = 3;
/**
 * Number of times at which they crashed: a loss of power crashes many targets at once.
 */
const TIMES_TO_REFUSE = 2;
/** Targets that have crashed at one time before a part is refused for that alone. */
const TARGETS_TO_REFUSE_AT_ONCE = 5;
/** Maximum share of requests that have a part that is refused. */
const MAX_SHARE = 0.5;
/** Requests that an entry must have seen to tell that share. */
const MIN_REQUESTS = 30;
/** Milliseconds before its first crash in which an answer shows that a part is harmless. */
const HARMLESS_MS = 60_000;
/**
 * Milliseconds after the last crash until one request with a refused part is tried, and
 * the factor by which each further time extends that.
 */
const TRIAL_DELAY_MS = 60_000;
const TRIAL_DELAY_GROWTH_FACTOR = 4;
/** Number of crash times beyond which that delay stops growing. */
const MAX_COUNTED_TIMES = 5;
/**
 * Milliseconds between two trials. The entries know of a crash seconds after it, and then
 * wait for longer.
 */
export const TRIAL_INTERVAL_MS = 15_000;
/**
 * Milliseconds for which a part must have been the likely cause before it is refused until
 * it is answered: all entries have told by then which requests they had on the same
 * targets, and which parts they saw answered. In the meantime it is not sent, either.
 */
const SETTLING_MS = 500;
/**
 * Maximum probability that the losses under a part have nothing to do with it, above
 * which it is not refused unless it is rare.
 */
const MAX_CHANCE = 0.01;
const ID_PREFIX = "part:";

/** Returns the identifier under which crashes of a part are recorded. */
export function createPartId(pool: string, part: string): string {
  return `${ID_PREFIX}${pool}:${part}`;
}

/** Returns the pool of a part. */
function getPool(id: string): string {
  return id.slice(ID_PREFIX.length, id.lastIndexOf(":"));
}

/** Whether an identifier is that of a part, not of a whole request. */
export function isPartId(id: string): boolean {
  return id.startsWith(ID_PREFIX);
}

/** A part of prompts that is refused. */
export interface RefusedPart {
  readonly id: string;
  /** The targets that crashed under it. */
  readonly targets: readonly string[];
  /** Milliseconds until one request with it is tried. */
  readonly remainingMs: number;
}

interface Trial {
  readonly requestId: number;
  readonly startedAt: number;
}

/** Records under which parts targets crashed, and which parts are refused. */
export class PoisonParts {
  readonly #history = new CrashHistory();
  readonly #traffic = new PartTraffic();
  readonly #outcomes = new PoolOutcomes();
  readonly #self: string;
  readonly #trials = new Map<string, Trial>();
  /** Since when parts have been the likely cause of crashes, in milliseconds. */
  #likelySince: ReadonlyMap<string, number> = new Map();
  #entries: readonly string[] = [];

  /** Starts without any known crash; `self` is the name of this entry. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Digest of the recorded crashes, equal for equal crashes. */
  get content(): string {
    return this.#history.content;
  }

  /** Sets the names of all entries, including this one. */
  setEntries(names: readonly string[]): void {
    this.#entries = names;
  }

  /** Returns the history of all recorded parts. */
  list(): readonly CrashedRequest[] {
    return this.#history.list();
  }

  /** Records that a request with these parts arrived. */
  recordArrival(ids: readonly string[]): void {
    if (ids.length > 0) this.#traffic.recordArrival(ids);
  }

  /** Records that a request was answered; returns whether the history changed. */
  recordServed(ids: readonly string[], now: number): boolean {
    const [first] = ids;
    if (first !== undefined) this.#outcomes.recordAnswered(getPool(first), now);
    for (const id of ids) this.#traffic.recordServed(id, now);
    return ids.filter((id) => this.#history.recordServed(id, now)).length > 0;
  }

  /**
   * Records that a target crashed under a request; returns the parts for which that is new.
   */
  recordCrash(
    ids: readonly string[],
    crash: Crash,
    now: number,
  ): readonly string[] {
    const [first] = ids;
    if (first !== undefined) {
      this.#outcomes.recordCrashed(getPool(first), crash, ids);
    }
    return ids.filter((id) =>
      !isHarmless(this.#traffic.getServedAt(id), crash) &&
      this.#history.record(id, crash, now)
    );
  }

  /**
   * Merges the history of another entry, and adds which of its parts were answered here;
   * returns whether the local history changed.
   */
  merge(received: readonly CrashedRequest[], now: number): boolean {
    const served = received.map(({ request }) => ({
      request,
      crashes: [],
      servedAt: this.#traffic.getServedAt(request),
    }));
    const known = served.filter(({ servedAt }) => Number.isFinite(servedAt));
    return this.#history.merge([...received, ...known], now);
  }

  /** Whether a target has crashed under a part that is not known to be harmless. */
  hasCrashes(ids: readonly string[]): boolean {
    return !this.#history.isEmpty &&
      ids.some((id) => this.#getSuspiciousCrashes(id).length > 0);
  }

  /**
   * Returns the refused part of a request, unless the request is sent to try it.
   *
   * @example
   * ```ts
   * const refused = poisonParts.tryFindRefused(ids, { requestId, now });
   * ```
   */
  tryFindRefused(
    ids: readonly string[],
    { requestId, now }: { readonly requestId: number; readonly now: number },
  ): RefusedPart | undefined {
    if (ids.length === 0 || this.#history.isEmpty) return undefined;
    const likely = ids.find((id) => this.#likelySince.has(id));
    if (likely !== undefined) return this.#describe(likely, now);
    const refused = ids.find((id) => this.#isRefused(id));
    if (refused === undefined) return undefined;
    const part = this.#describe(refused, now);
    return this.#mayTry(part, requestId, now) ? undefined : part;
  }

  /** Returns the refused parts. */
  listRefused(now: number): readonly RefusedPart[] {
    return this.#history.requests
      .filter((id) => this.#isRefused(id))
      .map((id) => this.#describe(id, now));
  }

  #describe(id: string, now: number): RefusedPart {
    const targets = this.#history.getCrashes(id).map(({ target }) => target);
    return { id, targets, remainingMs: this.#getRemainingMs(id, now) };
  }

  /** Whether a part is about to be refused, unless it is cleared before. */
  get hasLikelyCauses(): boolean {
    return this.#likelySince.size > 0;
  }

  /**
   * Decides which parts are refused from now on; returns whether there are any. The
   * crashes of `explainedTargets` are known to have another cause.
   */
  updateRefused(explainedTargets: Iterable<string>, now: number): boolean {
    const previous = this.#likelySince;
    const likely = this.#listLikelyCauses(explainedTargets, now);
    const isSettled = (id: string) =>
      now - (previous.get(id) ?? now) >= SETTLING_MS;
    const settled = likely.filter(isSettled);
    for (const id of settled) this.#history.recordRefused(id, now);
    this.#likelySince = new Map(
      likely.filter((id) => !isSettled(id))
        .map((id) => [id, previous.get(id) ?? now]),
    );
    return settled.length > 0;
  }

  /** Returns the parts that are not refused and explain crashes that no other cause does. */
  #listLikelyCauses(
    explainedTargets: Iterable<string>,
    now: number,
  ): readonly string[] {
    const explained = new Set(explainedTargets);
    for (const { targets } of this.listRefused(now)) addAll(explained, targets);
    return this.#listSuspects().filter((id) => {
      if (this.#isRefused(id) || !this.#isLikelyCause(id)) return false;
      const targets = this.#history.getCrashes(id).map(({ target }) => target);
      const isExplained = targets.every((target) => explained.has(target));
      addAll(explained, targets);
      return !isExplained;
    });
  }

  /** Returns the suspect parts, the most likely causes first. */
  #listSuspects(): readonly string[] {
    return [...this.#history.requests].sort((left, right) =>
      this.#history.getCrashes(right).length -
        this.#history.getCrashes(left).length ||
      this.#traffic.countArrivals(left) - this.#traffic.countArrivals(right) ||
      (left < right ? -1 : 1)
    );
  }

  /**
   * Whether enough targets have crashed under a part, which is not just one that most
   * requests have.
   */
  #isLikelyCause(id: string): boolean {
    const crashes = this.#getSuspiciousCrashes(id);
    const times = this.#history.getConsecutiveCrashes(id).length;
    const isEnough = crashes.length >= TARGETS_TO_REFUSE_AT_ONCE ||
      crashes.length >= TARGETS_TO_REFUSE && times >= TIMES_TO_REFUSE;
    if (!isEnough) return false;
    return this.#isRare(id) || this.#computeChance(id, crashes) <= MAX_CHANCE;
  }

  #isRare(id: string): boolean {
    const { requests } = this.#traffic;
    return requests >= MIN_REQUESTS &&
      this.#traffic.countArrivals(id) <= MAX_SHARE * requests;
  }

  /**
   * Returns the probability that requests with a part lost their targets for other
   * reasons. An answer since {@link HARMLESS_MS} before the first loss would have cleared
   * the part, so all answers since then are to requests without it.
   */
  #computeChance(id: string, crashes: readonly Crash[]): number {
    const since = (crashes[0]?.endedAt ?? 0) - HARMLESS_MS;
    const pool = getPool(id);
    const { answered, crashed } = this.#outcomes.countWithout(id, pool, since);
    const answeredElsewhere = this.#isAnyServedSince(pool, since) ? 1 : 0;
    return computeChance(
      { answered: Math.max(answered, answeredElsewhere), crashed },
      this.#countEvidence(id),
    );
  }

  /**
   * Returns how many of the crash times of a part say something about it. With much
   * traffic a part that most requests have is on every target, so that a loss of several
   * targets at one time says nothing.
   */
  #countEvidence(id: string): number {
    const times = separateInTime(this.#history.getConsecutiveCrashes(id));
    if (this.#traffic.requests < MIN_REQUESTS) return times.length;
    const all = this.#history.requests
      .filter((other) => getPool(other) === getPool(id))
      .flatMap((other) => this.#history.getCrashes(other));
    return times.filter((crash) => isSolitary(crash, all)).length;
  }

  /** Whether any entry saw a suspect part of a pool answered since a time. */
  #isAnyServedSince(pool: string, since: number): boolean {
    return this.#history.requests.some((id) =>
      getPool(id) === pool && this.#history.getServedAt(id) >= since
    );
  }

  #getRemainingMs(id: string, now: number): number {
    const times = this.#history.getConsecutiveCrashes(id);
    const last = times.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
    const counted = Math.min(times.length, MAX_COUNTED_TIMES);
    const extra = Math.max(0, counted - TIMES_TO_REFUSE);
    const delayMs = TRIAL_DELAY_MS * TRIAL_DELAY_GROWTH_FACTOR ** extra;
    return Math.max(0, last + delayMs - now);
  }

  /** Whether a part is refused, and was not found to be harmless since. */
  #isRefused(id: string): boolean {
    return this.#history.isRefused(id) &&
      this.#getSuspiciousCrashes(id).length > 0;
  }

  /** Returns the crashes under a part, or none if it is known to be harmless. */
  #getSuspiciousCrashes(id: string): readonly Crash[] {
    const crashes = this.#history.getCrashes(id);
    const [first] = crashes;
    const servedAt = this.#history.getServedAt(id);
    return first === undefined || isHarmless(servedAt, first) ? [] : crashes;
  }

  /** Whether this request is the one that is sent to find out if the defect was fixed. */
  #mayTry(
    { id, remainingMs }: RefusedPart,
    requestId: number,
    now: number,
  ): boolean {
    if (remainingMs > 0 || !this.#isTrialEntry(id)) return false;
    const trial = this.#trials.get(id);
    if (trial?.requestId === requestId) return true;
    const isDue = trial === undefined ||
      now - trial.startedAt >= TRIAL_INTERVAL_MS;
    if (isDue) this.#trials.set(id, { requestId, startedAt: now });
    return isDue;
  }

  /** Whether this entry is the one that tries a part; all entries agree on it. */
  #isTrialEntry(id: string): boolean {
    const ranked = [...this.#entries].sort((left, right) =>
      getRendezvousRank(left, id) < getRendezvousRank(right, id) ? -1 : 1
    );
    return ranked[0] === this.#self;
  }
}

/** Whether a part that was answered at a time did not cause a later crash. */
function isHarmless(servedAt: number, { endedAt }: Crash): boolean {
  return servedAt > endedAt - HARMLESS_MS;
}

function addAll(set: Set<string>, values: readonly string[]): void {
  for (const value of values) set.add(value);
}
