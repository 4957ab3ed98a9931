/**
 * The limits that targets in need name: the requests a second that one takes from all
 * entries together, for as long as its answers say so.
 *
 * An answer reaches one entry, and the limit concerns all of them, so entries tell each other
 * what they remember. There is no clock in common and no order of answers over connections:
 * each change of a limit counts up a version, and of two changes of one version the lower
 * limit holds. So all entries come to the same memory, and one that is out of date costs the
 * target nothing, as its next answer says again what holds.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Limits that entries tell each other, at most. */
const MOST_TOLD = 1024;
/** Milliseconds for which it is remembered that a limit has ended, or a target is not listed. */
const REMEMBERED_MS = 60_000;
/** Milliseconds after a change in which a higher limit is no news; lower ones always are. */
const RAISED_AFTER_MS = 1000;
/** Digits of a limit that count, so that its last ones are no news each time. */
const SIGNIFICANT_DIGITS = 2;

/** What is remembered of a target's limit. */
export interface TargetLimit {
  readonly target: string;
  /** Requests a second from all entries; undefined: the limit has ended. */
  readonly perSecond: number | undefined;
  /** Counts the changes of this target's limit. */
  readonly version: number;
  /** When the target said so last, in milliseconds. */
  readonly heardAt: number;
}

/** An answer in which a target names a limit, or none. */
export interface LimitAnswer {
  readonly target: string;
  /** Requests a second; undefined: it names none. */
  readonly perSecond: number | undefined;
  /** When its request was sent. */
  readonly sentAt: number;
  readonly now: number;
}

interface KnownLimit extends TargetLimit {
  /** When its version was first known here, in milliseconds. */
  readonly changedAt: number;
}

/** The limits that targets name. */
export class TargetLimits {
  readonly #byTarget = new Map<string, KnownLimit>();
  #listed: ReadonlySet<string> = new Set();
  #content: string | undefined;
  #named = 0;

  /** Whether no target has a limit now. */
  get isEmpty(): boolean {
    return this.#named === 0;
  }

  /** In short: the same for the same limits. */
  get content(): string {
    return this.#content ??= describeAll(this.list());
  }

  /** Everything that is told to other entries, ordered by target. */
  list(): readonly TargetLimit[] {
    return [...this.#byTarget.values()]
      .sort((left, right) => left.target < right.target ? -1 : 1)
      .slice(0, MOST_TOLD);
  }

  /** Requests a second that a target takes; undefined: it has no limit. */
  tryGet(target: string): number | undefined {
    return this.#byTarget.get(target)?.perSecond;
  }

  /**
   * Takes in an answer; returns the limit where it is another one than before.
   *
   * @example
   * ```ts
   * const limit = limits.note({ target, perSecond: 2, sentAt, now });
   * ```
   */
  note(answer: LimitAnswer): TargetLimit | undefined {
    const { target, now } = answer;
    const known = this.#byTarget.get(target);
    const perSecond = answer.perSecond && roundDown(answer.perSecond);
    if (perSecond === undefined) {
      // The head of an answer may be older than the need: only a later request tells its end.
      const isOver = known?.perSecond !== undefined &&
        answer.sentAt > known.heardAt;
      return isOver ? this.#change(answer, undefined) : undefined;
    }
    const isNews = known?.perSecond === undefined ||
      perSecond < known.perSecond ||
      (perSecond > known.perSecond && now - known.changedAt >= RAISED_AFTER_MS);
    if (isNews) return this.#change(answer, perSecond);
    this.#set({ ...known, heardAt: now });
    return undefined;
  }

  /** Takes in what another entry remembers; returns those that are news. */
  merge(told: readonly TargetLimit[], now: number): readonly TargetLimit[] {
    const news = told.filter((one) => this.#isNews(one, now));
    for (const one of news) this.#set({ ...one, changedAt: now });
    this.#forgetOld(now);
    return news;
  }

  /** These targets are listed now. */
  setListed(targets: ReadonlySet<string>, now: number): void {
    this.#listed = targets;
    this.#forgetOld(now);
  }

  #change(
    { target, now }: LimitAnswer,
    perSecond: number | undefined,
  ): TargetLimit {
    const version = (this.#byTarget.get(target)?.version ?? 0) + 1;
    const changed = { target, perSecond, version, heardAt: now };
    this.#set({ ...changed, changedAt: now });
    return changed;
  }

  #isNews(told: TargetLimit, now: number): boolean {
    const known = this.#byTarget.get(told.target);
    if (known === undefined) return !this.#isOld(told, now);
    if (told.version !== known.version) return told.version > known.version;
    return getRate(told) < getRate(known);
  }

  #set(limit: KnownLimit): void {
    this.#byTarget.set(limit.target, limit);
    this.#content = undefined;
    this.#countNamed();
  }

  #isOld({ target, perSecond, heardAt }: TargetLimit, now: number): boolean {
    const mayEnd = perSecond === undefined || !this.#listed.has(target);
    return mayEnd && now - heardAt >= REMEMBERED_MS;
  }

  #forgetOld(now: number): void {
    for (const limit of [...this.#byTarget.values()]) {
      if (!this.#isOld(limit, now)) continue;
      this.#byTarget.delete(limit.target);
      this.#content = undefined;
    }
    this.#countNamed();
  }

  #countNamed(): void {
    this.#named = [...this.#byTarget.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }
}

function getRate({ perSecond }: TargetLimit): number {
  return perSecond ?? Number.POSITIVE_INFINITY;
}

/** Never more than was named. */
function roundDown(perSecond: number): number {
  const rounded = Number(perSecond.toPrecision(SIGNIFICANT_DIGITS));
  if (rounded <= perSecond) return rounded;
  const magnitude = Math.floor(Math.log10(perSecond));
  const unit = 10 ** (magnitude - SIGNIFICANT_DIGITS + 1);
  return Number((rounded - unit).toPrecision(SIGNIFICANT_DIGITS));
}

function describeAll(limits: readonly TargetLimit[]): string {
  if (limits.length === 0) return "";
  const text = limits
    .map(({ target, perSecond, version }) =>
      `${target}:${version}:${perSecond}`
    )
    .join(" ");
  return createHash("sha256").update(text).digest("base64url");
}
