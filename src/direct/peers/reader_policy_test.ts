/**
 * Guards against too many calls to the platform's store, which charges for each. With a
 * hundred entries that each list the back ends, these calls are the largest daily cost.
 * One entry reads for all, and the state that each entry knows must be no older than the
 * time for which a leaving back end may still receive requests.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import {
  type FleetFault,
  StoreReaderFleet,
  type StoreReaderFleetOptions,
} from "../../testing/store_reader_fleet.ts";
import { ReaderPolicy } from "./reader_policy.ts";
import { createSocketAddress } from "../../testing/socket_addresses.ts";

const LEAVING_LIMIT_MS = 2000;
const RUN_MS = 20_000;
const ENTRIES = 9;
const READER = createSocketAddress("reader:1");

function createOptions(
  changes: Partial<StoreReaderFleetOptions> = {},
): StoreReaderFleetOptions {
  return {
    seed: 1,
    domains: 3,
    entriesPerDomain: ENTRIES / 3,
    leavingLimitMs: LEAVING_LIMIT_MS,
    faults: [],
    ...changes,
  };
}

const FAULTS: fc.Arbitrary<FleetFault> = fc.record({
  kind: fc.constantFrom("stands_still", "turned_away", "cut_off"),
  entry: fc.nat(ENTRIES - 1),
  at: fc.nat(RUN_MS),
  forMs: fc.integer({ min: 50, max: 6000 }),
});

describe("entries that read the store for each other", () => {
  it("call it about as often as a single entry, however many there are", () => {
    const single = new StoreReaderFleet(
      createOptions({ domains: 1, entriesPerDomain: 1 }),
    ).run(RUN_MS);
    const many = createOptions({ domains: 5, entriesPerDomain: 20 });
    const { lists, maxAgeMs } = new StoreReaderFleet(many).run(
      RUN_MS,
    );
    // Each entry lists once at its start, and again when an answer was late.
    assert.ok(
      lists - 100 <= 4 * single.lists,
      `${lists}, single entry ${single.lists}`,
    );
    assert.ok(maxAgeMs <= LEAVING_LIMIT_MS, `${maxAgeMs}`);
  });

  it("never know a state older than the limit, whichever entries fail", () => {
    fc.assert(
      fc.property(
        fc.array(FAULTS, { maxLength: 12 }),
        fc.nat(1_000_000),
        (faults, seed) => {
          const fleet = new StoreReaderFleet(createOptions({ faults, seed }));
          const { maxAgeMs } = fleet.run(RUN_MS);
          assert.ok(maxAgeMs <= LEAVING_LIMIT_MS, `${maxAgeMs}`);
        },
      ),
      { numRuns: 150 },
    );
  });

  it("query the next one when the first is frozen", () => {
    const faults: readonly FleetFault[] = [
      { kind: "stands_still", entry: 0, at: 5000, forMs: 10_000 },
    ];
    const baseline = new StoreReaderFleet(createOptions()).run(RUN_MS);
    const result = new StoreReaderFleet(createOptions({ faults })).run(RUN_MS);
    assert.ok(result.lists <= baseline.lists + 45, `${result.lists}`);
  });
});

describe("a first entry that the store rejects", () => {
  /**
   * Guards against all entries listing at once, again and again. The store rejects the
   * first entry for seconds, which then receives from other entries the state that it
   * sent to them itself, so that the state of all grows old together.
   */
  it("is replaced by one other entry, not by all of them", () => {
    const faults: readonly FleetFault[] = [
      { kind: "turned_away", entry: 0, at: 3000, forMs: 15_000 },
    ];
    const options = { domains: 5, entriesPerDomain: 7 };
    const baseline = new StoreReaderFleet(createOptions(options)).run(RUN_MS);
    const fleet = new StoreReaderFleet(createOptions({ ...options, faults }));
    const { lists } = fleet.run(RUN_MS);
    assert.ok(
      lists <= baseline.lists + 45,
      `${lists}, baseline ${baseline.lists}`,
    );
  });
});

describe("a reader that is gone", () => {
  it("is queried less and less often", () => {
    const policy = new ReaderPolicy(LEAVING_LIMIT_MS);
    const addresses = [createSocketAddress("gone:1")];
    policy.setCandidates({ addresses, isFirstOfDomain: false });
    const queries: number[] = [];
    for (let now = 0; now < 60_000; now += 50) {
      const action = policy.nextAction(now);
      if (action.kind === "ask") queries.push(now);
      if (action.kind === "list") policy.recordListing(now);
    }
    assert.ok(queries.length <= 10, `${queries.length}`);
  });
});

describe("an answer of a reader", () => {
  it("is not mistaken for the answer to a later query", () => {
    const policy = createQueried();
    policy.nextAction(400);
    policy.recordAnswer(READER, { askedAt: 10, ageMs: 0 }, 410);
    // Nothing that the store contained after 10 ms is known.
    assert.equal(policy.nextAction(1400).kind, "ask");
    assert.equal(policy.nextAction(1415).kind, "list");
  });

  function createQueried(): ReaderPolicy {
    const policy = new ReaderPolicy(LEAVING_LIMIT_MS);
    policy.setCandidates({ addresses: [READER], isFirstOfDomain: false });
    policy.recordListing(0);
    assert.deepEqual(policy.nextAction(10), {
      kind: "ask",
      address: READER,
    });
    return policy;
  }

  it("has an age that counts from the query, also if it is read late", () => {
    const policy = createQueried();
    policy.recordAnswer(
      READER,
      { askedAt: 10, ageMs: 100 },
      LEAVING_LIMIT_MS,
    );
    assert.equal(policy.isFollowingReader, false);
    assert.equal(policy.nextAction(LEAVING_LIMIT_MS).kind, "list");
  });

  it("is not used when the reader has no state", () => {
    const policy = createQueried();
    policy.recordAnswer(READER, { askedAt: 10, ageMs: undefined }, 20);
    assert.equal(policy.isFollowingReader, false);
  });

  it("makes calls to the store unnecessary while it is recent", () => {
    const policy = createQueried();
    policy.recordAnswer(READER, { askedAt: 10, ageMs: 100 }, 20);
    assert.equal(policy.isFollowingReader, true);
    assert.equal(policy.nextAction(150).kind, "nothing");
  });
});
