/**
 * Provides a store that returns given listings one after the other.
 *
 * @module
 */
import {
  type StoreLease,
  type StoreListing,
  StoreUnavailableError,
  type StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";

/** A store that returns given listings one after the other and fails all other calls. */
export class ListedStore extends WatchedStore {
  readonly #listings: StoreListing[];

  /** Creates a store that returns the listings in this order. */
  constructor(listings: readonly StoreListing[]) {
    super();
    this.#listings = [...listings];
  }

  override list(): Promise<StoreListing> {
    const listing = this.#listings.shift();
    return listing === undefined ? unavailable() : Promise.resolve(listing);
  }

  override watch(): Promise<StoreWatchOutcome> {
    return unavailable();
  }

  override register(): Promise<StoreLease> {
    return unavailable();
  }

  override renew(): Promise<boolean> {
    return unavailable();
  }

  override release(): Promise<void> {
    return unavailable();
  }
}

function unavailable(): Promise<never> {
  return Promise.reject(new StoreUnavailableError("No listing is left"));
}
