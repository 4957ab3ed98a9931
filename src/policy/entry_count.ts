/**
 * Counts the entries that share a limit, without ever counting too few.
 *
 * Lists of entries are incomplete at times: registrations expire while the platform's
 * store is unavailable or unreachable, and are written again one by one. An entry that is
 * not listed may still send, and each entry that counts too few of them uses too large a
 * part of the limit. So an entry counts as one for a long time after it was last listed.
 *
 * @module
 */

/**
 * Milliseconds for which an entry that is no longer listed counts. An entry that is cut
 * off from the store keeps serving, usually for minutes at most.
 */
const UNLISTED_RETENTION_MS = 300_000;

/** Counts the entries that share a limit. */
export class EntryCount {
  #listed: ReadonlySet<string> = new Set();
  /** When entries that are not listed any more were last listed, by name. */
  readonly #unlistedAt = new Map<string, number>();
  #firstListedAt: number | undefined;
  #lastListedAt: number | undefined;

  /** When the first list was received, in milliseconds; undefined without one. */
  get firstListedAt(): number | undefined {
    return this.#firstListedAt;
  }

  /** When the last list was received, in milliseconds; undefined without one. */
  get lastListedAt(): number | undefined {
    return this.#lastListedAt;
  }

  /** Records the names in the current list, including that of this entry. */
  setListed(names: readonly string[], now: number): void {
    this.#firstListedAt ??= now;
    this.#lastListedAt = now;
    const listed = new Set(names);
    for (const name of this.#listed) {
      if (!listed.has(name)) this.#unlistedAt.set(name, now);
    }
    for (const name of names) this.#unlistedAt.delete(name);
    this.#listed = listed;
  }

  /**
   * Returns the number of entries that may be sending, at least one.
   *
   * @example
   * ```ts
   * const part = slack / entries.getCount(now);
   * ```
   */
  getCount(now: number): number {
    for (const [name, unlistedAt] of this.#unlistedAt) {
      const isForgotten = now - unlistedAt > UNLISTED_RETENTION_MS;
      if (isForgotten) this.#unlistedAt.delete(name);
    }
    return Math.max(1, this.#listed.size + this.#unlistedAt.size);
  }
}
