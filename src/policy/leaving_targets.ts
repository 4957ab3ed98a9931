/**
 * Tracks the targets that have announced in an answer that they are leaving.
 *
 * An announcement reaches one entry and applies to all of them, so entries replicate it.
 * It holds as long as that incarnation is known: the target is never sent a request
 * again, whatever later lists say, and a restarted target has another name. Delayed or
 * lost replication breaks no guarantee: an entry without the update relies on the list
 * and on the answers that it receives itself.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Maximum number of targets that entries replicate. */
const MAX_REPLICATED = 1024;
/**
 * Milliseconds for which a target that is no longer listed is remembered. A list may lack
 * a target while the platform's store is unavailable or restored from an older copy.
 */
const RETENTION_MS = 600_000;

/** A target that has announced that it is leaving. */
export interface LeavingTarget {
  readonly target: string;
  /** When the target was last listed or announced that it is leaving, in milliseconds. */
  readonly knownAt: number;
}

/** Tracks the targets that have announced that they are leaving. */
export class LeavingTargets {
  readonly #knownAt = new Map<string, number>();
  #listed: ReadonlySet<string> = new Set();
  #content: string | undefined;

  /** Number of leaving targets that are still listed. */
  get listedCount(): number {
    return [...this.#knownAt.keys()].filter((name) => this.#listed.has(name))
      .length;
  }

  /** Digest of the leaving targets, equal for equal sets of targets. */
  get content(): string {
    return this.#content ??= computeDigest(this.list());
  }

  /** Returns the leaving targets that are replicated, ordered by name. */
  list(): readonly LeavingTarget[] {
    return [...this.#knownAt]
      .map(([target, knownAt]) => ({ target, knownAt }))
      .sort((left, right) => left.target < right.target ? -1 : 1)
      .slice(0, MAX_REPLICATED);
  }

  /** Whether a target has announced that it is leaving. */
  has(target: string): boolean {
    return this.#knownAt.has(target);
  }

  /** Records a target's announcement; returns whether it is new. */
  record(target: string, now: number): boolean {
    const isNew = !this.#knownAt.has(target);
    this.#set(target, now);
    return isNew;
  }

  /** Merges the targets received from another entry; returns the new ones. */
  merge(
    received: readonly LeavingTarget[],
    now: number,
  ): readonly LeavingTarget[] {
    const added = received.filter((leaving) =>
      !this.#knownAt.has(leaving.target) && !this.#isOld(leaving, now)
    );
    for (const { target, knownAt } of added) this.#set(target, knownAt);
    return added;
  }

  /** Replaces the set of listed targets. */
  setListed(targets: ReadonlySet<string>, now: number): void {
    this.#listed = targets;
    for (const [target, knownAt] of [...this.#knownAt]) {
      if (targets.has(target)) this.#knownAt.set(target, now);
      else if (this.#isOld({ target, knownAt }, now)) this.#forget(target);
    }
  }

  #isOld({ target, knownAt }: LeavingTarget, now: number): boolean {
    return !this.#listed.has(target) && now - knownAt >= RETENTION_MS;
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

function computeDigest(targets: readonly LeavingTarget[]): string {
  if (targets.length === 0) return "";
  const text = targets.map(({ target }) => target).join(" ");
  return createHash("sha256").update(text).digest("base64url");
}
