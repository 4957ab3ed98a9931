/**
 * Replicates one section of an entry's state to another entry. The whole section is sent
 * whenever the other entry's digest differs, so that an entry that restarted or was
 * disconnected is up to date after one query.
 *
 * @module
 */
import type { ReplicatedSectionUpdate } from "../../messages/peer_types.ts";

/** Digest of an empty section. */
export const EMPTY_DIGEST = "";

/** One section of an entry's replicated state, in the form in which it is sent. */
export interface ReplicatedSection<Item> {
  /** Digest of the section; equal for equal contents. */
  readonly content: string;
  /** Returns all items, with ages relative to `now`, in milliseconds. */
  list(now: number): readonly Item[];
}

/** Replicates one section of this entry's state to one other entry. */
export class SectionReplicator<Item> {
  readonly #section: ReplicatedSection<Item>;
  /** The digests of both sides when the items were last sent. */
  #lastOwnDigest: string | undefined;
  #lastPeerDigest: string | undefined;

  /** Starts with nothing sent. */
  constructor(section: ReplicatedSection<Item>) {
    this.#section = section;
  }

  /**
   * Creates the update for an entry whose section has the digest `other`; undefined if
   * both are empty. The items are sent once for each difference: items that the other
   * entry does not store, because its section is full, are not sent again and again.
   * `now` is in milliseconds.
   *
   * @example
   * ```ts
   * const update = replicator.tryCreateUpdate(EMPTY_DIGEST, performance.now());
   * ```
   */
  tryCreateUpdate(
    other: string,
    now: number,
  ): ReplicatedSectionUpdate<Item> | undefined {
    const { content } = this.#section;
    const areBothEmpty = content === other && content === EMPTY_DIGEST;
    if (areBothEmpty) return undefined;
    const isSent = content === this.#lastOwnDigest &&
      other === this.#lastPeerDigest;
    if (content === other || isSent) return { content };
    this.#lastOwnDigest = content;
    this.#lastPeerDigest = other;
    return { content, items: this.#section.list(now) };
  }
}
