import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EventLog } from "../events/event_log.ts";
import {
  type StoreItem,
  type StoreListing,
  type StoreWatchOptions,
  type StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";
import { UnregisteredStore } from "../testing/unregistered_store.ts";
import { Reachability } from "./reachability.ts";
import { getRetryPauseMs, StoreWatch } from "./store_watch.ts";

/** Milliseconds that suffice to list this store. */
const READ_MS = 50;
/** Milliseconds without a reader after which a watch has begun. */
const WITHOUT_READER_MS = 1200;

interface WatchFixture {
  readonly store: HoldingStore;
  readonly watch: StoreWatch;
}

/** Lists nothing, and holds each watch until it is aborted. */
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
      signal.addEventListener(
        "abort",
        () => reject(new Error("aborted by signal")),
      );
    });
  }
}

function createWatch(store: WatchedStore, listsAtOnce: boolean): StoreWatch {
  const log = new EventLog({ role: "entry", processName: "test" });
  return new StoreWatch({
    store,
    prefix: "any/",
    waitMs: 1000,
    retryPauseMs: 10,
    listsOnStart: listsAtOnce,
    listsOnReaderLoss: listsAtOnce,
    reachability: new Reachability("test", log),
    log,
    onListed: () => undefined,
    onChanged: () => undefined,
  });
}

/** Starts a watch that follows a reader, and gives it time to list. */
async function startFollowing(listsAtOnce: boolean): Promise<WatchFixture> {
  const store = new HoldingStore();
  const watch = createWatch(store, listsAtOnce);
  watch.setFollowingReader(true);
  watch.start();
  await sleep(READ_MS);
  return { store, watch };
}

describe("a watch that may follow a reader", () => {
  it("makes no call while it follows a reader", async () => {
    const { store, watch } = await startFollowing(false);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [0, 0]);
  });

  it("lists once at the start if configured", async () => {
    const { store, watch } = await startFollowing(true);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [1, 0]);
  });

  it("lists once, and watches only after a delay, when its reader is lost", async () => {
    const { store, watch } = await startFollowing(true);
    watch.setFollowingReader(false);
    await sleep(READ_MS);
    assert.deepEqual([store.lists, store.watches], [2, 0]);
    watch.setFollowingReader(true);
    await sleep(READ_MS);
    watch.stop();
    assert.deepEqual([store.lists, store.watches], [2, 0]);
  });

  it("watches when no reader replaces the lost one", async () => {
    const { store, watch } = await startFollowing(true);
    watch.setFollowingReader(false);
    await sleep(WITHOUT_READER_MS);
    watch.stop();
    assert.equal(store.watches, 1);
  });
});

/** Lists one key, and then returns one change at each watch. */
class ChangingStore extends UnregisteredStore {
  lists = 0;
  readonly #changes: number;
  #revision = 1;

  /** `changes` is the number of watches that return a change. */
  constructor(changes: number) {
    super();
    this.#changes = changes;
  }

  override list(): Promise<StoreListing> {
    this.lists++;
    return Promise.resolve({
      items: [createItem(this.#revision)],
      revision: this.#revision,
    });
  }

  override async watch(): Promise<StoreWatchOutcome> {
    if (this.#revision > this.#changes) await sleep(60_000);
    const revision = ++this.#revision;
    const written = [createItem(revision)];
    return { kind: "changed", written, removed: [], revision };
  }
}

function createItem(revision: number): StoreItem {
  return { key: "any/a", value: "", revision, createdRevision: 1 };
}

/**
 * Guards against a store that is reported as unreachable, and listed again and again
 * without any further change being handled, because this program's own handler of its
 * answers throws.
 */
describe("an exception in the handler of a store's answers", () => {
  it("is logged as an internal fault while the store is followed", async () => {
    const log = new EventLog({ role: "entry", processName: "test" });
    const reachability = new Reachability("test", log);
    const store = new ChangingStore(3);
    const handled: number[] = [];
    const handle = (items: readonly StoreItem[]) => {
      const revision = items[0]?.revision ?? 0;
      handled.push(revision);
      if (revision < 3) throw new TypeError("unexpected value");
    };
    const watch = new StoreWatch({
      store,
      prefix: "any/",
      waitMs: 1000,
      retryPauseMs: 10,
      reachability,
      log,
      onListed: handle,
      onChanged: ({ written }) => handle(written),
    });
    watch.start();
    await sleep(READ_MS);
    watch.stop();
    assert.deepEqual(handled, [1, 2, 3, 4]);
    assert.equal(store.lists, 1);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 2);
    assert.equal(log.counts.get("PLATFORM_UNREACHABLE"), undefined);
    assert.ok(reachability.isReached);
  });
});

/**
 * Guards against overloading a store that is busy for some seconds and is called again
 * and again by every process of a fleet. Rejected calls are work for the store as well.
 */
describe("calls to a store that rejects them", () => {
  const FIRST_PAUSE_MS = 400;

  it("are few, but frequent enough to notice its recovery in time", () => {
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

  it("follow after the shortest pause when the first one fails", () => {
    assert.equal(getRetryPauseMs(FIRST_PAUSE_MS, 1), FIRST_PAUSE_MS);
  });
});
