/**
 * Keeps the settings in force, and never goes back.
 *
 * @module
 */
import type { BodyCache } from "./body_source.ts";
import { tryLoadSnapshot } from "./load_snapshot.ts";
import { tryParseHead } from "./tree.ts";
import type { SettingsSnapshot } from "./snapshot.ts";

/** Called when new settings are in force. */
export interface SnapshotListener {
  onSnapshot(snapshot: SettingsSnapshot): void;
}

/** The offer was newer and is in force now. */
export interface OfferTaken {
  readonly kind: "taken";
}

/** The offer is in force already. */
export interface OfferKnown {
  readonly kind: "known";
}

/** The offer is older than what is in force, and was ignored. */
export interface OfferOlder {
  readonly kind: "older";
  readonly revision: number;
}

/** The offer could not be read, or a body of it could not be had. */
export interface OfferIncomplete {
  readonly kind: "incomplete";
}

/** What became of an offered head. */
export type OfferOutcome =
  | OfferTaken
  | OfferKnown
  | OfferOlder
  | OfferIncomplete;

/** Keeps the settings in force. */
export class SettingsKeeper {
  readonly #bodies: BodyCache;
  readonly #listener: SnapshotListener;
  #snapshot: SettingsSnapshot | undefined;
  #olderOffers = 0;
  #turn: Promise<unknown> = Promise.resolve();

  /** Begins without settings. */
  constructor(bodies: BodyCache, listener: SnapshotListener) {
    this.#bodies = bodies;
    this.#listener = listener;
  }

  /** The settings in force; undefined before the first. */
  get snapshot(): SettingsSnapshot | undefined {
    return this.#snapshot;
  }

  /** Revision in force; 0 before the first. */
  get revision(): number {
    return this.#snapshot?.head.revision ?? 0;
  }

  /** Offers that were older than what was in force. */
  get olderOffers(): number {
    return this.#olderOffers;
  }

  /**
   * Puts an offered head in force if it is newer and whole. Offers are taken
   * in turn.
   *
   * @example
   * ```ts
   * const outcome = await keeper.offer(headText);
   * ```
   */
  offer(headText: string): Promise<OfferOutcome> {
    const outcome = this.#turn.then(() => this.#take(headText));
    this.#turn = outcome.catch(() => undefined);
    return outcome;
  }

  async #take(headText: string): Promise<OfferOutcome> {
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
