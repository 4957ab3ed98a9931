import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EventLog } from "../events/event_log.ts";
import {
  type StoreListing,
  type StoreWatchOptions,
  type StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";
import { UnregisteredStore } from "../testing/unregistered_store.ts";
import { Reachability } from "./reachability.ts";
import { getRetryPauseMs, StoreWatch } from "./store_watch.ts";

/** Milliseconds in which a list of this store is read. */
const READ_MS = 50;
/** Milliseconds after which a watch without a reader has begun. */
const ALONE_MS = 1200;

interface WatchFixture {
  readonly store: HoldingStore;
  readonly watch: StoreWatch;
}

/** Lists nothing, and holds each watch until it is broken off. */
class HoldingStore extends UnregisteredStore {
  lists = 0;
  watches = 0;

  override list(): Promise<StoreListing> {
    this.lists++;
    return Promise.resolve({ items: [], revision: 1 });
  }

  override watch({ signal }: StoreWatchOptions): Promise<StoreWatchOutcome> {
    this.watches++;
    return new Promise((_, reject) => {
      signal.addEventListener("abort", () => reject(new Error("broken off")));
    });
  }
}

function createWatch(store: WatchedStore, readsAtOnce: boolean): StoreWatch {
  const log = new EventLog({ role: "entry", processName: "test" });
  return new StoreWatch({
    store,
    prefix: "any/",
    waitMs: 1000,
    retryPauseMs: 10,
    readsFirst: readsAtOnce,
    readsWhenAlone: readsAtOnce,
    reachability: new Reachability("test", log),
    onListed: () => undefined,
    onChanged: () => undefined,
  });
}

/** A watch that starts while another process leads, and has had time to read. */
async function startLed(readsAtOnce: boolean): Promise<WatchFixture> {
  const store = new HoldingStore();
  const watch = createWatch(store, readsAtOnce);
  watch.setLed(true);
  watch.start();
  await sleep(READ_MS);
  return { store, watch };
}

describe("a watch that another process may lead", () => {
  it("makes no call while it is led", async () => {
    const { store, watch } = await startLed(false);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [0, 0]);
  });

  it("reads once at the start where that is wanted at once", async () => {
    const { store, watch } = await startLed(true);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [1, 0]);
  });

  it("reads once, and watches only after a while, when its reader fails", async () => {
    const { store, watch } = await startLed(true);
    watch.setLed(false);
    await sleep(READ_MS);
    assert.deepEqual([store.lists, store.watches], [2, 0]);
    watch.setLed(true);
    await sleep(READ_MS);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [2, 0]);
  });

  it("watches when nobody leads any more", async () => {
    const { store, watch } = await startLed(true);
    watch.setLed(false);
    await sleep(ALONE_MS);
    watch.stop();
    assert.equal(store.watches, 1);
  });
});

/**
 * The pattern: the store is busy for some seconds, and every process of a fleet asks it
 * again and again. Each refused call is work for the store, too.
 */
describe("calls to a store that refuses them", () => {
  const FIRST_PAUSE_MS = 400;

  it("are few, and yet in time for its return", () => {
    let calls = 0;
    let longestMs = 0;
    for (let now = 0; now < 8000; calls++) {
      const pauseMs = getRetryPauseMs(FIRST_PAUSE_MS, calls + 1);
      longestMs = Math.max(longestMs, pauseMs);
      now += pauseMs;
    }
    assert.ok(calls <= 8);
    assert.ok(longestMs <= 1600);
  });

  it("follow soon after the first that failed", () => {
    assert.equal(getRetryPauseMs(FIRST_PAUSE_MS, 1), FIRST_PAUSE_MS);
  });
});
