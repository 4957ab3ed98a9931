/**
 * What entries tell each other while the store turns one of them away.
 *
 * @module
 */
import type { BackEndInstance } from "../../external/back_end_directory.ts";

/** Asks another entry for whatever it heard from the store since. */
export interface StoreNewsQueryMessage {
  readonly kind: "store_news_query";
  /** Version of the asker's settings; undefined when it has none. */
  readonly settingsVersion?: number;
  /** Revision of the asker's list of back ends; undefined when it has none. */
  readonly directoryRevision?: number;
  /** Whether lists of back ends are to follow as they are heard. */
  readonly isFollowing?: boolean;
}

/** A list of back ends as another entry heard it. */
export interface DirectoryNews {
  readonly instances: readonly BackEndInstance[];
  /** Revision of the store. */
  readonly revision: number;
  /** Milliseconds since the sender asked the store for it. */
  readonly ageMs: number;
}

/** Answers a query; what the asker has already is left out. */
export interface StoreNewsMessage {
  readonly kind: "store_news";
  /** Settings as the operator wrote them. */
  readonly settingsText?: string;
  /** Version of the sender's settings, for those who follow it. */
  readonly settingsVersion?: number;
  readonly directory?: DirectoryNews;
}

/** Messages between entries that follow one store. */
export type PeerMessage = StoreNewsQueryMessage | StoreNewsMessage;
