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
import { UnregisteredStore } from "../testing/unregistered_store.ts";
import { DrainFollower, MOST_DRAINS } from "./drain_follower.ts";
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

  override readSettings(text: string) {
    return Ok({
      version: Number(text),
      documents: new Map(),
      idleLimitMs: 1000,
      pools: new Set<string>(),
      groups: new Map(),
    });
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

/** Gives listings, or fails where there is none, and what its watches bring. */
class ScriptedStore extends UnregisteredStore {
  readonly prefixes = new Set<string>();
  readonly #listings: (StoreListing | undefined)[];
  readonly #outcomes: StoreWatchOutcome[];

  constructor(
    listings: readonly (StoreListing | undefined)[],
    outcomes: readonly StoreWatchOutcome[],
  ) {
    super();
    this.#listings = [...listings];
    this.#outcomes = [...outcomes];
  }

  override list(prefix: string): Promise<StoreListing> {
    this.prefixes.add(prefix);
    const listing = this.#listings.shift();
    return listing === undefined
      ? Promise.reject(new StoreUnavailableError("down"))
      : Promise.resolve(listing);
  }

  override watch(): Promise<StoreWatchOutcome> {
    const outcome = this.#outcomes.shift();
    return outcome === undefined
      ? new Promise(() => {/* Nothing changes any more. */})
      : Promise.resolve(outcome);
  }
}

/** Items as `KEY=VALUE`, written at a revision. */
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
  readonly outcomes: readonly StoreWatchOutcome[];
  /** What was told, in order. */
  readonly told: string;
  readonly unreadable?: number;
}

const DRAINED = createListing(5, ["op/drain/a=yes", SETTINGS]);

const ROWS: readonly FollowRow[] = [
  {
    name: "are in force before the settings of the same listing",
    listings: [createListing(5, [SETTINGS, "op/drain/a=yes"])],
    outcomes: [],
    told: "[a] settings-1",
  },
  {
    name: "follow what operators write and remove",
    listings: [createListing(5, [SETTINGS])],
    outcomes: [
      createChange(6, ["op/drain/a=yes"]),
      createChange(7, ["op/drain/b=yes"]),
      createChange(8, [], ["op/drain/a"]),
    ],
    told: "settings-1 [a] [a,b] [b]",
  },
  {
    name: "stay when a value cannot be read, and none begins",
    listings: [DRAINED],
    outcomes: [
      createChange(6, ["op/drain/a=7", "op/drain/b=7", "op/drain/=yes"]),
    ],
    told: "[a] settings-1",
    unreadable: 3,
  },
  {
    name: "stay when a listing cannot be read in part, which is logged once",
    listings: [DRAINED, createListing(9, ["op/drain/a="]), undefined],
    outcomes: [createChange(6, ["op/drain/c=7"]), HISTORY_LOST, HISTORY_LOST],
    told: "[a] settings-1",
    unreadable: 2,
  },
  {
    name: "stay when somebody writes absurdly many",
    listings: [DRAINED],
    outcomes: [
      createChange(
        6,
        Array.from({ length: MOST_DRAINS }, (_, n) => `op/drain/z${n}=yes`),
      ),
      createChange(7, [], ["op/drain/a"]),
    ],
    told: "[a] settings-1 []",
    unreadable: 1,
  },
  {
    name: "stay when a listing fails",
    listings: [DRAINED, undefined],
    outcomes: [HISTORY_LOST],
    told: "[a] settings-1",
  },
];

async function follow({ listings, outcomes }: FollowRow) {
  const store = new ScriptedStore(listings, outcomes);
  const format = new DrainFormat();
  const log = new EventLog({ role: "entry", processName: "test" });
  const told: string[] = [];
  const drains = new DrainFollower({
    format,
    log,
    onDrains: (names) => told.push(`[${names.join(",")}]`),
  });
  const settings = new SettingsFollower({
    store,
    format,
    log,
    drains,
    onSettings: ({ version }) => told.push(`settings-${version}`),
  });
  settings.start();
  for (let turns = 0; turns < 20; turns++) await setImmediate();
  settings.stop();
  drains.stop();
  return { told: told.join(" "), log, drains, store };
}

/**
 * The failures that these tests guard against: an entry that serves with settings and without
 * the drains beside them, and a key that somebody spoilt that ends a drain or begins one.
 */
describe("drains in the store", () => {
  for (const row of ROWS) {
    it(row.name, async () => {
      const { told, log, store } = await follow(row);
      assert.equal(told, row.told);
      const unreadable = log.counts.get("DRAIN_UNREADABLE") ?? 0;
      assert.equal(unreadable, row.unreadable ?? 0);
      assert.deepEqual([...store.prefixes], ["op/"]);
    });
  }

  it("are taken from another entry only when they are newer", async () => {
    const listings = [DRAINED];
    const { drains } = await follow({
      name: "",
      listings,
      outcomes: [],
      told: "",
    });
    drains.offer({ revision: 4, failureDomains: [] }, 0);
    assert.deepEqual(drains.stored?.failureDomains, ["a"]);
    drains.offer({ revision: 6, failureDomains: ["b"] }, 0);
    assert.deepEqual(drains.stored?.failureDomains, ["b"]);
  });
});
