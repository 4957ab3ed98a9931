/**
 * The targets that have said with an answer that they leave.
 *
 * A word in an answer reaches one entry, and it is true for all of them, so entries tell each
 * other. It holds for as long as that incarnation is known: one that has said so is never sent
 * a request again, whatever lists say of it later, and a target that comes back has another
 * name. What is told late, or not at all, costs no rule: an entry that was not told goes by the
 * list and by the answers that it gets itself.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Targets that entries tell each other, at most. */
const MOST_TOLD = 1024;
/**
 * Milliseconds for which a target that is listed no more is remembered. A list may lack it
 * while the platform's store is away, or comes back from an older copy.
 */
const REMEMBERED_MS = 600_000;

/** A target that has said that it leaves. */
export interface LeavingTarget {
  readonly target: string;
  /** When it was last heard of, by a list or by itself, in milliseconds. */
  readonly knownAt: number;
}

/** The targets that have said that they leave. */
export class LeavingTargets {
  readonly #knownAt = new Map<string, number>();
  #listed: ReadonlySet<string> = new Set();
  #content: string | undefined;

  /** Targets that are listed though they have said that they leave. */
  get listedCount(): number {
    return [...this.#knownAt.keys()].filter((name) => this.#listed.has(name))
      .length;
  }

  /** In short: the same for the same targets. */
  get content(): string {
    return this.#content ??= describeAll(this.list());
  }

  /** Everything that is told to other entries, ordered by target. */
  list(): readonly LeavingTarget[] {
    return [...this.#knownAt]
      .map(([target, knownAt]) => ({ target, knownAt }))
      .sort((left, right) => left.target < right.target ? -1 : 1)
      .slice(0, MOST_TOLD);
  }

  /** Whether a target has said that it leaves. */
  has(target: string): boolean {
    return this.#knownAt.has(target);
  }

  /** A target said that it leaves; whether that is news. */
  note(target: string, now: number): boolean {
    const isNews = !this.#knownAt.has(target);
    this.#set(target, now);
    return isNews;
  }

  /** Takes in what another entry remembers; returns those that are news. */
  merge(told: readonly LeavingTarget[], now: number): readonly LeavingTarget[] {
    const news = told.filter((one) =>
      !this.#knownAt.has(one.target) && !this.#isOld(one, now)
    );
    for (const { target, knownAt } of news) this.#set(target, knownAt);
    return news;
  }

  /** These targets are listed now. */
  setListed(targets: ReadonlySet<string>, now: number): void {
    this.#listed = targets;
    for (const [target, knownAt] of [...this.#knownAt]) {
      if (targets.has(target)) this.#knownAt.set(target, now);
      else if (this.#isOld({ target, knownAt }, now)) this.#forget(target);
    }
  }

  #isOld({ target, knownAt }: LeavingTarget, now: number): boolean {
    return !this.#listed.has(target) && now - knownAt >= REMEMBERED_MS;
  }

  #set(target: string, knownAt: number): void {
    this.#knownAt.set(target, knownAt);
    this.#content = undefined;
  }

  #forget(target: string): void {
    this.#knownAt.delete(target);
    this.#content = undefined;
  }
}

function describeAll(targets: readonly LeavingTarget[]): string {
  if (targets.length === 0) return "";
  const text = targets.map(({ target }) => target).join(" ");
  return createHash("sha256").update(text).digest("base64url");
}
