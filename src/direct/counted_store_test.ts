import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import {
  type StoreLease,
  type StoreListing,
  StoreUnavailableError,
  type StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";
import { CountedStore } from "./counted_store.ts";

class ListingStore extends WatchedStore {
  isDown = false;

  override list(): Promise<StoreListing> {
    if (this.isDown) return Promise.reject(new StoreUnavailableError("down"));
    return Promise.resolve({ items: [], revision: 7 });
  }

  override watch(): Promise<StoreWatchOutcome> {
    return Promise.resolve({ kind: "history_lost" });
  }

  override register(): Promise<StoreLease> {
    return Promise.resolve({ id: "1", timeToLiveMs: 1000 });
  }

  override renew(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }
}

describe("a counted store", () => {
  it("counts each call once, and passes on answers and failures", async () => {
    const store = new ListingStore();
    const calls: string[] = [];
    const counted = new CountedStore({
      store,
      log: new EventLog({ role: "entry", processName: "test" }),
      onCall: (kind, hasFailed) => calls.push(`${kind} ${hasFailed}`),
    });
    assert.equal((await counted.list("any/")).revision, 7);
    store.isDown = true;
    await assert.rejects(counted.list("any/"), StoreUnavailableError);
    assert.deepEqual(calls, ["list false", "list true"]);
  });

  // Guards against an answered call that counts as a failure of the store.
  it("returns an answer whose count throws, and logs the exception", async () => {
    const log = new EventLog({ role: "entry", processName: "test" });
    const counted = new CountedStore({
      store: new ListingStore(),
      log,
      onCall: () => {
        throw new TypeError("unexpected value");
      },
    });
    assert.equal((await counted.list("any/")).revision, 7);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});
