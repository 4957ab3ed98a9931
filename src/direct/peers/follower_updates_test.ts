import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../../core/random_source.ts";
import { FollowedReader } from "../../testing/followed_reader.ts";

/** Milliseconds in which a version must be in force at all entries. */
const CONVERGENCE_LIMIT_MS = 3000;
/** A version passes the first of all entries, then the first of a failure domain. */
const HOPS = 2;
/** Narrowest link of an entry, in megabits per second, and entries in a domain. */
const NARROW_LINK = { followers: 23, linkMegabitsPerSecond: 28 };
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
    slo_ms: 403,
    priority: 1,
    service: "desk",
    max_attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    gap_aim_ms: 120,
  }));
  return JSON.stringify({ version, routes });
}

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
