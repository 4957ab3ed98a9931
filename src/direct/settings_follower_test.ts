import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results-es";
import { EventLog } from "../events/event_log.ts";
import {
  type SettingsOutline,
  StoreFormat,
} from "../external/operator_settings.ts";
import {
  type StoreItem,
  type StoreListing,
  type StoreWatchOutcome,
} from "../external/watched_store.ts";
import { createOperatorSettings } from "../testing/fixtures.ts";
import { UnregisteredStore } from "../testing/unregistered_store.ts";
import { SettingsFollower } from "./settings_follower.ts";

const SETTINGS_KEY = "settings";

/** Reads versions written as numbers. */
class NumberFormat extends StoreFormat {
  override readonly settingsKey = SETTINGS_KEY;
  override readonly backEndPrefix = "servers/";
  reads = 0;

  override readOutline(
    text: string,
  ): Result<SettingsOutline, readonly string[]> {
    const version = Number(text);
    if (Number.isNaN(version)) {
      this.reads++;
      return Err(["no number"]);
    }
    const read = () => {
      this.reads++;
      return createOperatorSettings(version);
    };
    return Ok({ version, read });
  }

  override tryReadBackEnd(): undefined {
    return undefined;
  }
}

/** Lists a first version, returns one batch of changes, and then no more. */
class BatchStore extends UnregisteredStore {
  watches = 0;
  readonly #written: readonly StoreItem[];
  #isDelivered = false;

  constructor(texts: readonly string[]) {
    super();
    this.#written = texts.map((value, index) => ({
      key: SETTINGS_KEY,
      value,
      revision: index + 2,
      createdRevision: 1,
    }));
  }

  override list(): Promise<StoreListing> {
    const first = {
      key: SETTINGS_KEY,
      value: "0",
      revision: 1,
      createdRevision: 1,
    };
    return Promise.resolve({ items: [first], revision: 1 });
  }

  override watch(): Promise<StoreWatchOutcome> {
    this.watches++;
    if (this.#isDelivered) {
      return new Promise(() => {/* No more changes. */});
    }
    this.#isDelivered = true;
    const revision = this.#written.length + 1;
    const written = this.#written;
    return Promise.resolve({ kind: "changed", written, removed: [], revision });
  }
}

interface Followed {
  /** Number of versions that were parsed. */
  readonly reads: number;
  readonly watches: number;
  readonly inForce: number | undefined;
}

/** Follows a store that returns these versions in one answer. */
async function followStore(
  texts: readonly string[],
  rereadIntervalMs?: number,
): Promise<Followed> {
  const store = new BatchStore(texts);
  const format = new NumberFormat();
  const follower = new SettingsFollower({
    store,
    format,
    log: new EventLog({ role: "rank", processName: "test" }),
    rereadIntervalMs,
    onSettings: () => undefined,
  });
  follower.start();
  for (let round = 0; round < 10; round++) await setImmediate();
  follower.stop();
  const inForce = follower.inUse?.settings.version;
  return { reads: format.reads, watches: store.watches, inForce };
}

/**
 * Guards against a process that falls behind because operators write dozens of versions
 * within seconds, each with all routes, and it parses every one of them.
 */
describe("settings that change many times within seconds", () => {
  it("are parsed once for all versions that arrive together", async () => {
    const texts = Array.from({ length: 30 }, (_, index) => String(index + 1));
    const { reads, inForce } = await followStore(texts);
    assert.deepEqual({ reads, inForce }, { reads: 2, inForce: 30 });
  });

  it("take effect in the newest version that can be read", async () => {
    const { reads, inForce } = await followStore(["1", "2", "unreadable"]);
    assert.deepEqual({ reads, inForce }, { reads: 3, inForce: 2 });
  });

  it("are not parsed again if they are in force already, or older", () => {
    const format = new NumberFormat();
    const follower = new SettingsFollower({
      store: new BatchStore([]),
      format,
      log: new EventLog({ role: "entry", processName: "test" }),
      onSettings: () => undefined,
    });
    for (const text of ["5", "5", "4", "5"]) {
      assert.ok(follower.offer(text, "entry"));
    }
    assert.equal(format.reads, 1);
  });

  it("are not watched by a process that reads them at intervals", async () => {
    const { watches, inForce } = await followStore(["1"], 10_000);
    assert.deepEqual({ watches, inForce }, { watches: 0, inForce: 0 });
  });
});
