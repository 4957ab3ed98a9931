/**
 * Holds the settings in force, which are only replaced by newer ones.
 *
 * @module
 */
import type { BodyCache } from "./body_source.ts";
import { tryLoadSnapshot } from "./load_snapshot.ts";
import { tryParseHead } from "./tree.ts";
import type { SettingsSnapshot } from "./snapshot.ts";

/** Receives new settings that are in force. */
export interface SnapshotListener {
  onSnapshot(snapshot: SettingsSnapshot): void;
}

/** The offer was newer and was put in force. */
export interface OfferTaken {
  readonly kind: "taken";
}

/** The offer was already in force. */
export interface OfferKnown {
  readonly kind: "known";
}

/** The offer was older than the settings in force and was ignored. */
export interface OfferOlder {
  readonly kind: "older";
  readonly revision: number;
}

/** The offer could not be read, or one of its bodies was unavailable. */
export interface OfferIncomplete {
  readonly kind: "incomplete";
}

/** Outcome of an offered head. */
export type OfferOutcome =
  | OfferTaken
  | OfferKnown
  | OfferOlder
  | OfferIncomplete;

/** Holds the settings in force. */
export class SettingsKeeper {
  readonly #bodies: BodyCache;
  readonly #listener: SnapshotListener;
  #snapshot: SettingsSnapshot | undefined;
  #olderOffers = 0;
  #lastOffer: Promise<unknown> = Promise.resolve();

  /** Creates a keeper without settings. */
  constructor(bodies: BodyCache, listener: SnapshotListener) {
    this.#bodies = bodies;
    this.#listener = listener;
  }

  /** The settings in force; undefined until the first are loaded. */
  get snapshot(): SettingsSnapshot | undefined {
    return this.#snapshot;
  }

  /** Revision in force; 0 until the first settings are loaded. */
  get revision(): number {
    return this.#snapshot?.head.revision ?? 0;
  }

  /** Number of offers that were older than the settings in force. */
  get olderOffers(): number {
    return this.#olderOffers;
  }

  /**
   * Puts an offered head in force if it is newer and complete. Offers are processed one
   * after the other.
   *
   * @example
   * ```ts
   * const outcome = await keeper.offer(headText);
   * ```
   */
  offer(headText: string): Promise<OfferOutcome> {
    const outcome = this.#lastOffer.then(() => this.#apply(headText));
    this.#lastOffer = outcome.catch(() => undefined);
    return outcome;
  }

  async #apply(headText: string): Promise<OfferOutcome> {
    if (headText === this.#snapshot?.headText) return { kind: "known" };
    const head = tryParseHead(headText);
    if (head === undefined) return { kind: "incomplete" };
    if (head.revision <= this.revision) {
      if (head.root === this.#snapshot?.head.root) return { kind: "known" };
      this.#olderOffers++;
      return { kind: "older", revision: head.revision };
    }
    const next = await tryLoadSnapshot({
      headText,
      bodies: this.#bodies,
      current: this.#snapshot,
    });
    if (next === undefined) return { kind: "incomplete" };
    this.#snapshot = next;
    this.#listener.onSnapshot(next);
    return { kind: "taken" };
  }
}
