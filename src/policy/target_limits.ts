/**
 * Tracks the limits that overloaded targets announce: the requests a second that a target
 * accepts from all entries together, for as long as its answers say so.
 *
 * An answer reaches one entry, but the limit applies to all of them, so entries replicate
 * their limits. There is neither a common clock nor an order of answers across
 * connections: each change of a limit increments its version, and of two changes with the
 * same version the lower limit wins. So all entries converge, and an outdated entry does
 * the target no harm, as the target's next answer repeats the current limit.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Maximum number of limits that entries replicate. */
const MAX_REPLICATED = 1024;
/**
 * Milliseconds for which an ended limit or the limit of an unlisted target is remembered.
 */
const RETENTION_MS = 60_000;
/**
 * Milliseconds after a change in which a higher limit is ignored; lower ones apply at
 * once.
 */
const MIN_RAISE_INTERVAL_MS = 1000;
/** Significant digits of a limit, so that small fluctuations do not count as changes. */
const SIGNIFICANT_DIGITS = 2;

/** The known limit of a target. */
export interface TargetLimit {
  readonly target: string;
  /** Requests a second from all entries; undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** Number of changes of this target's limit. */
  readonly version: number;
  /** When the target last announced the limit, in milliseconds. */
  readonly heardAt: number;
}

/** An answer of a target, with the limit that it announces, if any. */
export interface LimitNotice {
  readonly target: string;
  /** Requests a second; undefined if the answer announces no limit. */
  readonly perSecond: number | undefined;
  /** When the request of the answer was sent. */
  readonly sentAt: number;
  readonly now: number;
}

interface KnownLimit extends TargetLimit {
  /** When this entry first learned of the version, in milliseconds. */
  readonly changedAt: number;
}

/** Tracks the limits that targets announce. */
export class TargetLimits {
  readonly #byTarget = new Map<string, KnownLimit>();
  #listed: ReadonlySet<string> = new Set();
  #content: string | undefined;
  #activeCount = 0;

  /** Whether no target has a limit. */
  get isEmpty(): boolean {
    return this.#activeCount === 0;
  }

  /** Digest of the limits, equal for equal limits. */
  get content(): string {
    return this.#content ??= computeDigest(this.list());
  }

  /** Returns the limits that are replicated, ordered by target. */
  list(): readonly TargetLimit[] {
    return [...this.#byTarget.values()]
      .sort((left, right) => left.target < right.target ? -1 : 1)
      .slice(0, MAX_REPLICATED);
  }

  /**
   * Returns the requests a second that a target accepts; undefined if it has no limit.
   */
  tryGet(target: string): number | undefined {
    return this.#byTarget.get(target)?.perSecond;
  }

  /**
   * Records an answer; returns the limit if it has changed.
   *
   * @example
   * ```ts
   * const limit = limits.record({ target, perSecond: 2, sentAt, now });
   * ```
   */
  record(notice: LimitNotice): TargetLimit | undefined {
    const { target, now } = notice;
    const known = this.#byTarget.get(target);
    const perSecond = notice.perSecond && roundDown(notice.perSecond);
    if (perSecond === undefined) {
      // The target may have sent the headers of the answer before its limit began, so
      // only the answer to a later request ends the limit.
      const hasEnded = known?.perSecond !== undefined &&
        notice.sentAt > known.heardAt;
      return hasEnded ? this.#change(notice, undefined) : undefined;
    }
    const isChanged = known?.perSecond === undefined ||
      perSecond < known.perSecond ||
      (perSecond > known.perSecond &&
        now - known.changedAt >= MIN_RAISE_INTERVAL_MS);
    if (isChanged) return this.#change(notice, perSecond);
    this.#set({ ...known, heardAt: now });
    return undefined;
  }

  /** Merges the limits received from another entry; returns the changed ones. */
  merge(received: readonly TargetLimit[], now: number): readonly TargetLimit[] {
    const changes = received.filter((limit) => this.#isNew(limit, now));
    for (const limit of changes) this.#set({ ...limit, changedAt: now });
    this.#evictExpired(now);
    return changes;
  }

  /** Replaces the set of listed targets. */
  setListed(targets: ReadonlySet<string>, now: number): void {
    this.#listed = targets;
    this.#evictExpired(now);
  }

  #change(
    { target, now }: LimitNotice,
    perSecond: number | undefined,
  ): TargetLimit {
    const version = (this.#byTarget.get(target)?.version ?? 0) + 1;
    const changed: TargetLimit = { target, perSecond, version, heardAt: now };
    this.#set({ ...changed, changedAt: now });
    return changed;
  }

  #isNew(update: TargetLimit, now: number): boolean {
    const known = this.#byTarget.get(update.target);
    if (known === undefined) return !this.#isExpired(update, now);
    if (update.version !== known.version) return update.version > known.version;
    return getRate(update) < getRate(known);
  }

  #set(limit: KnownLimit): void {
    this.#byTarget.set(limit.target, limit);
    this.#content = undefined;
    this.#updateActiveCount();
  }

  #isExpired(
    { target, perSecond, heardAt }: TargetLimit,
    now: number,
  ): boolean {
    const isRemovable = perSecond === undefined || !this.#listed.has(target);
    return isRemovable && now - heardAt >= RETENTION_MS;
  }

  #evictExpired(now: number): void {
    for (const limit of [...this.#byTarget.values()]) {
      if (!this.#isExpired(limit, now)) continue;
      this.#byTarget.delete(limit.target);
      this.#content = undefined;
    }
    this.#updateActiveCount();
  }

  #updateActiveCount(): void {
    this.#activeCount = [...this.#byTarget.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }
}

function getRate({ perSecond }: TargetLimit): number {
  return perSecond ?? Number.POSITIVE_INFINITY;
}

/** Rounds down, so that the result does not exceed the announced limit. */
function roundDown(perSecond: number): number {
  const rounded = Number(perSecond.toPrecision(SIGNIFICANT_DIGITS));
  if (rounded <= perSecond) return rounded;
  const magnitude = Math.floor(Math.log10(perSecond));
  const unit = 10 ** (magnitude - SIGNIFICANT_DIGITS + 1);
  return Number((rounded - unit).toPrecision(SIGNIFICANT_DIGITS));
}

function computeDigest(limits: readonly TargetLimit[]): string {
  if (limits.length === 0) return "";
  const text = limits
    .map(({ target, perSecond, version }) =>
      `${target}:${version}:${perSecond}`
    )
    .join(" ");
  return createHash("sha256").update(text).digest("base64url");
}
