import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Ok } from "ts-results-es";
import { EventLog } from "../events/event_log.ts";
import {
  type OperatorKey,
  StoreFormat,
} from "../external/operator_settings.ts";
import {
  type StoreItem,
  type StoreListing,
  StoreUnavailableError,
  type StoreWatchOutcome,
} from "../external/watched_store.ts";
import { createOperatorSettings } from "../testing/fixtures.ts";
import { UnregisteredStore } from "../testing/unregistered_store.ts";
import { DrainFollower, MAX_DRAINS } from "./drain_follower.ts";
import { SettingsFollower } from "./settings_follower.ts";

const SETTINGS = "op/settings=1";
const HISTORY_LOST: StoreWatchOutcome = { kind: "history_lost" };

/** Drains are written as `op/drain/NAME` with the value `yes`. */
class DrainFormat extends StoreFormat {
  override readonly settingsKey = "op/settings";
  override readonly backEndPrefix = "servers/";

  override get operatorPrefix(): string {
    return "op/";
  }

  override readOutline(text: string) {
    const version = Number(text);
    return Ok({ version, read: () => createOperatorSettings(version) });
  }

  override tryReadBackEnd(): undefined {
    return undefined;
  }

  override readDrainKey(key: string): OperatorKey {
    const [, failureDomain] = /^op\/drain\/(.*)$/.exec(key) ?? [];
    if (failureDomain === undefined) return { kind: "other" };
    if (failureDomain === "") return { kind: "unreadable" };
    return { kind: "drain", failureDomain };
  }

  override isDrainValue(text: string): boolean {
    return text === "yes";
  }
}

/**
 * Returns the given listings in order, failing where one is undefined, and the given
 * watch outcomes.
 */
class ScriptedStore extends UnregisteredStore {
  readonly prefixes = new Set<string>();
  readonly #listings: (StoreListing | undefined)[];
  readonly #watchOutcomes: StoreWatchOutcome[];

  constructor(
    listings: readonly (StoreListing | undefined)[],
    watchOutcomes: readonly StoreWatchOutcome[],
  ) {
    super();
    this.#listings = [...listings];
    this.#watchOutcomes = [...watchOutcomes];
  }

  override list(prefix: string): Promise<StoreListing> {
    this.prefixes.add(prefix);
    const listing = this.#listings.shift();
    return listing === undefined
      ? Promise.reject(new StoreUnavailableError("down"))
      : Promise.resolve(listing);
  }

  override watch(): Promise<StoreWatchOutcome> {
    const outcome = this.#watchOutcomes.shift();
    return outcome === undefined
      ? new Promise(() => {/* No more changes. */})
      : Promise.resolve(outcome);
  }
}

/** Creates items from `KEY=VALUE` texts, written at a revision. */
function createItems(
  texts: readonly string[],
  revision: number,
): readonly StoreItem[] {
  return texts.map((text) => {
    const [key = "", value = ""] = text.split("=");
    return { key, value, revision, createdRevision: revision };
  });
}

function createListing(revision: number, texts: readonly string[]) {
  return { items: createItems(texts, revision), revision };
}

function createChange(
  revision: number,
  written: readonly string[],
  removed: readonly string[] = [],
): StoreWatchOutcome {
  const items = createItems(written, revision);
  return { kind: "changed", written: items, removed, revision };
}

interface FollowRow {
  readonly name: string;
  readonly listings: readonly (StoreListing | undefined)[];
  readonly watchOutcomes: readonly StoreWatchOutcome[];
  /** The notifications received, in order. */
  readonly notifications: string;
  readonly unreadableCount?: number;
}

const DRAINED = createListing(5, ["op/drain/a=yes", SETTINGS]);

const ROWS: readonly FollowRow[] = [
  {
    name: "are in force before the settings of the same listing",
    listings: [createListing(5, [SETTINGS, "op/drain/a=yes"])],
    watchOutcomes: [],
    notifications: "[a] settings-1",
  },
  {
    name: "follow what operators write and remove",
    listings: [createListing(5, [SETTINGS])],
    watchOutcomes: [
      createChange(6, ["op/drain/a=yes"]),
      createChange(7, ["op/drain/b=yes"]),
      createChange(8, [], ["op/drain/a"]),
    ],
    notifications: "settings-1 [a] [a,b] [b]",
  },
  {
    name: "remain when a value cannot be read, and none starts",
    listings: [DRAINED],
    watchOutcomes: [
      createChange(6, ["op/drain/a=7", "op/drain/b=7", "op/drain/=yes"]),
    ],
    notifications: "[a] settings-1",
    unreadableCount: 3,
  },
  {
    name: "remain when part of a listing cannot be read, which is logged once",
    listings: [DRAINED, createListing(9, ["op/drain/a="]), undefined],
    watchOutcomes: [
      createChange(6, ["op/drain/c=7"]),
      HISTORY_LOST,
      HISTORY_LOST,
    ],
    notifications: "[a] settings-1",
    unreadableCount: 2,
  },
  {
    name: "remain when more than the maximum are written",
    listings: [DRAINED],
    watchOutcomes: [
      createChange(
        6,
        Array.from({ length: MAX_DRAINS }, (_, n) => `op/drain/z${n}=yes`),
      ),
      createChange(7, [], ["op/drain/a"]),
    ],
    notifications: "[a] settings-1 []",
    unreadableCount: 1,
  },
  {
    name: "remain when a listing fails",
    listings: [DRAINED, undefined],
    watchOutcomes: [HISTORY_LOST],
    notifications: "[a] settings-1",
  },
];

async function follow({ listings, watchOutcomes }: FollowRow) {
  const store = new ScriptedStore(listings, watchOutcomes);
  const format = new DrainFormat();
  const log = new EventLog({ role: "entry", processName: "test" });
  const notifications: string[] = [];
  const drains = new DrainFollower({
    format,
    log,
    onDrains: (names) => notifications.push(`[${names.join(",")}]`),
  });
  const settings = new SettingsFollower({
    store,
    format,
    log,
    drains,
    onSettings: ({ version }) => notifications.push(`settings-${version}`),
  });
  settings.start();
  for (let round = 0; round < 20; round++) await setImmediate();
  settings.stop();
  drains.stop();
  return { notifications: notifications.join(" "), log, drains, store };
}

/**
 * Guards against an entry that serves with new settings but without the drains stored
 * beside them, and against a corrupted key that ends a drain or starts one.
 */
describe("drains in the store", () => {
  for (const row of ROWS) {
    it(row.name, async () => {
      const { notifications, log, store } = await follow(row);
      assert.equal(notifications, row.notifications);
      const unreadable = log.counts.get("DRAIN_UNREADABLE") ?? 0;
      assert.equal(unreadable, row.unreadableCount ?? 0);
      assert.deepEqual([...store.prefixes], ["op/"]);
    });
  }

  it("are accepted from another entry only when they are newer", async () => {
    const listings = [DRAINED];
    const { drains } = await follow({
      name: "",
      listings,
      watchOutcomes: [],
      notifications: "",
    });
    drains.offer({ revision: 4, failureDomains: [] }, 0);
    assert.deepEqual(drains.stored?.failureDomains, ["a"]);
    drains.offer({ revision: 6, failureDomains: ["b"] }, 0);
    assert.deepEqual(drains.stored?.failureDomains, ["b"]);
  });
});
