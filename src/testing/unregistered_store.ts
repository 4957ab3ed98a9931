/**
 * Provides a store that rejects registrations, for tests of lists and watches.
 *
 * @module
 */
import { type StoreLease, WatchedStore } from "../external/watched_store.ts";

/** A store that rejects registrations. */
export abstract class UnregisteredStore extends WatchedStore {
  override register(): Promise<StoreLease> {
    return Promise.reject(new Error("Registrations are not supported"));
  }

  override renew(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }
}
