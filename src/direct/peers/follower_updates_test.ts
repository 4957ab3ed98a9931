import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../../core/random_source.ts";
import { EventLog } from "../../events/event_log.ts";
import type {
  StoreUpdateMessage,
  StoreUpdateQueryMessage,
} from "../../messages/peer_types.ts";
import { createOperatorSettings } from "../../testing/fixtures.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import { readSettingsText } from "./compressed_settings.ts";
import { type FollowerLink, FollowerUpdates } from "./follower_updates.ts";
import {
  createEmptyReplicatedState,
  FollowedReader,
} from "../../testing/followed_reader.ts";

/** Milliseconds in which a version must be in force at all entries. */
const CONVERGENCE_LIMIT_MS = 3000;
/** A version passes the first of all entries, then the first of a failure domain. */
const HOPS = 2;
/** Narrowest link of an entry, in megabits per second, and entries in a domain. */
const NARROW_LINK = { followers: 23, linkMegabitsPerSecond: 19.6 };
const VERSION_INTERVAL_MS = 330;
const VERSIONS = 12;

interface SettingsSize {
  readonly version: number;
  readonly rows: number;
}

/** Creates settings whose rows have names of their own and the same fields. */
function createSettingsText({ version, rows }: SettingsSize): string {
  const random = new RandomSource(1);
  const createName = () => random.nextBelow(36 ** 7).toString(36);
  const routes = Array.from({ length: rows }, () => ({
    name: `r-${createName()}`,
    host: "desk.example",
    prefix: `/${createName()}/`,
    kind: "safe",
    timeout_ms: 8000,
    aim_ms: 403,
    priority: 1,
    service: "desk",
    attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    pause_limit_ms: 120,
  }));
  return JSON.stringify({ version, routes });
}

/** A connection that has not sent some bytes yet. */
class LinkFixture implements FollowerLink {
  bufferedBytes = 0;
  readonly messages: StoreUpdateMessage[] = [];

  send(message: StoreUpdateMessage): void {
    this.messages.push(message);
  }
}

/** A reader with one connection, whose settings were checked at the current time. */
class ReaderFixture {
  readonly link = new LinkFixture();
  readonly updates: FollowerUpdates;
  now = 1000;
  settings: SettingsInUse = this.#createSettings(1);

  constructor() {
    this.updates = new FollowerUpdates({
      log: new EventLog({ role: "entry", processName: "reader" }),
      getTime: () => this.now,
      getStoreState: () => ({
        isReading: true,
        settings: this.settings,
        settingsCheckedAt: this.now,
        directory: undefined,
        processes: { revision: 0, processes: [] },
      }),
      replicatedState: createEmptyReplicatedState(),
    });
    this.updates.add(this.link);
  }

  /** Puts a version in force, and sends it. */
  update(version: number): void {
    this.settings = this.#createSettings(version);
    this.updates.send();
  }

  /** Returns the answer to a query. */
  query(
    changes: Partial<StoreUpdateQueryMessage> = {},
  ): StoreUpdateMessage | undefined {
    this.updates.answer(this.link, {
      kind: "store_news_query",
      queryId: 1,
      isFollowing: true,
      acceptsCompression: true,
      memories: {},
      ...changes,
    });
    return this.link.messages.at(-1);
  }

  #createSettings(version: number): SettingsInUse {
    const settings = createOperatorSettings(version);
    return { settings, text: `settings ${version}` };
  }
}

/** Bytes that keep a connection from newer settings. */
const MANY_BYTES = 1_000_000;

describe("updates for followers", () => {
  it("have plain text for programs that read no compressed one", () => {
    const reader = new ReaderFixture();
    const answer = reader.query({ acceptsCompression: undefined });
    assert.equal(answer?.settingsText, "settings 1");
    assert.equal(answer.compressedSettings, undefined);
  });

  it("have a version once, though it is queried again before it arrives", () => {
    const reader = new ReaderFixture();
    const [first, second] = [reader.query(), reader.query()];
    assert.ok(first !== undefined && second !== undefined);
    assert.equal(readSettingsText(first).unwrap(), "settings 1");
    assert.equal(readSettingsText(second).unwrap(), undefined);
  });

  // Otherwise a follower counts its settings as current, though newer ones wait.
  it("are as old as the settings that wait for a connection", () => {
    const reader = new ReaderFixture();
    reader.query();
    reader.link.bufferedBytes = MANY_BYTES;
    reader.update(2);
    reader.now += 700;
    reader.update(3);
    reader.now += 300;
    const waiting = reader.query({ settingsVersion: 1 });
    assert.equal(waiting?.compressedSettings, undefined);
    assert.equal(waiting?.settingsAgeMs, 1000);
    reader.link.bufferedBytes = 0;
    const answer = reader.query({ settingsVersion: 1 });
    assert.ok(answer !== undefined);
    assert.equal(readSettingsText(answer).unwrap(), "settings 3");
    assert.equal(answer.settingsAgeMs, 0);
  });
});

/**
 * Guards against changes that are in force late because a reader's link is full of copies
 * of large versions, one for each follower and again for each of its queries.
 */
describe("large settings on a reader's narrow link", () => {
  it("reach all followers in time when they change each third of a second", () => {
    const reader = new FollowedReader(NARROW_LINK);
    for (let version = 1; version <= VERSIONS; version++) {
      const text = createSettingsText({ version, rows: 1640 });
      reader.arriveAt(version * VERSION_INTERVAL_MS, version, text);
    }
    const { maxDelayMs } = reader.run(60_000);
    assert.ok(maxDelayMs <= CONVERGENCE_LIMIT_MS / HOPS, `${maxDelayMs} ms`);
  });

  it("reach all followers in time when a value has the largest size", () => {
    const reader = new FollowedReader(NARROW_LINK);
    const text = createSettingsText({ version: 1, rows: 4750 });
    assert.ok(text.length > 1_000_000 && text.length <= 1_048_576);
    reader.arriveAt(1000, 1, text);
    const { maxDelayMs } = reader.run(60_000);
    assert.ok(maxDelayMs <= CONVERGENCE_LIMIT_MS / HOPS, `${maxDelayMs} ms`);
  });
});
