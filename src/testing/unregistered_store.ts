/**
 * A store with which nothing can be registered, for tests of what is read and watched.
 *
 * @module
 */
import { type StoreLease, WatchedStore } from "../external/watched_store.ts";

/** A store with which nothing can be registered. */
export abstract class UnregisteredStore extends WatchedStore {
  override register(): Promise<StoreLease> {
    return Promise.reject(new Error("not here"));
  }

  override renew(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }
}
