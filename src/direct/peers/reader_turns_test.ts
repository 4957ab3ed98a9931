/**
 * The load that these tests tell of: a hundred entries that each list the back ends, so
 * that calls to the platform's store were the greatest price of every day. One entry
 * reads for all; what each knows must still be no older than the time for which a back
 * end that leaves may be sent work.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import {
  type FleetFault,
  ReadingFleet,
  type ReadingFleetOptions,
} from "../../testing/reading_fleet.ts";
import { ReaderTurns } from "./reader_turns.ts";

const LEAVING_LIMIT_MS = 2000;
const RUN_MS = 20_000;
const ENTRIES = 9;

function createOptions(
  changes: Partial<ReadingFleetOptions> = {},
): ReadingFleetOptions {
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
  it("ask it as often as one entry would, however many they are", () => {
    const alone = new ReadingFleet(
      createOptions({ domains: 1, entriesPerDomain: 1 }),
    ).run(RUN_MS);
    const many = createOptions({ domains: 5, entriesPerDomain: 20 });
    const { lists, oldestMs } = new ReadingFleet(many).run(RUN_MS);
    // Each lists once as it starts, and at times when an answer was late.
    assert.ok(lists - 100 <= 4 * alone.lists, `${lists}, one ${alone.lists}`);
    assert.ok(oldestMs <= LEAVING_LIMIT_MS, `${oldestMs}`);
  });

  it("never know less than the store said so long ago, whoever fails", () => {
    fc.assert(
      fc.property(
        fc.array(FAULTS, { maxLength: 12 }),
        fc.nat(1_000_000),
        (faults, seed) => {
          const fleet = new ReadingFleet(createOptions({ faults, seed }));
          const { oldestMs } = fleet.run(RUN_MS);
          assert.ok(oldestMs <= LEAVING_LIMIT_MS, `${oldestMs}`);
        },
      ),
      { numRuns: 150 },
    );
  });

  it("ask the next one when the first stands still", () => {
    const faults: readonly FleetFault[] = [
      { kind: "stands_still", entry: 0, at: 5000, forMs: 10_000 },
    ];
    const calm = new ReadingFleet(createOptions()).run(RUN_MS);
    const result = new ReadingFleet(createOptions({ faults })).run(RUN_MS);
    assert.ok(result.lists <= calm.lists + 45, `${result.lists}`);
  });
});

describe("a first entry that the store turns away", () => {
  /**
   * The pattern: the first of all is turned away for seconds and hears from others what
   * these heard from it; all grew old together and listed at once, again and again.
   */
  it("is replaced by one, not by all", () => {
    const faults: readonly FleetFault[] = [
      { kind: "turned_away", entry: 0, at: 3000, forMs: 15_000 },
    ];
    const options = { domains: 5, entriesPerDomain: 7 };
    const calm = new ReadingFleet(createOptions(options)).run(RUN_MS);
    const fleet = new ReadingFleet(createOptions({ ...options, faults }));
    const { lists } = fleet.run(RUN_MS);
    assert.ok(lists <= calm.lists + 45, `${lists}, calm ${calm.lists}`);
  });
});

describe("a reader that is gone", () => {
  it("is asked ever less often", () => {
    const turns = new ReaderTurns(LEAVING_LIMIT_MS);
    turns.setCandidates({ addresses: ["gone:1"], isFirst: false });
    const asked: number[] = [];
    for (let now = 0; now < 60_000; now += 50) {
      const turn = turns.next(now);
      if (turn.kind === "ask") asked.push(now);
      if (turn.kind === "list") turns.noteListed(now);
    }
    assert.ok(asked.length <= 10, `${asked.length}`);
  });
});

describe("what a reader answers", () => {
  it("is not taken for the answer to a later question", () => {
    const turns = createAsked();
    turns.next(400);
    turns.noteAnswer("reader:1", { askedAt: 10, ageMs: 0 }, 410);
    // Nothing that the store said after 10 ms is known.
    assert.equal(turns.next(1400).kind, "ask");
    assert.equal(turns.next(1415).kind, "list");
  });

  function createAsked(): ReaderTurns {
    const turns = new ReaderTurns(LEAVING_LIMIT_MS);
    turns.setCandidates({ addresses: ["reader:1"], isFirst: false });
    turns.noteListed(0);
    assert.deepEqual(turns.next(10), { kind: "ask", address: "reader:1" });
    return turns;
  }

  it("counts from the question, so one that lay unread is old", () => {
    const turns = createAsked();
    turns.noteAnswer(
      "reader:1",
      { askedAt: 10, ageMs: 100 },
      LEAVING_LIMIT_MS,
    );
    assert.equal(turns.isLed, false);
    assert.equal(turns.next(LEAVING_LIMIT_MS).kind, "list");
  });

  it("is worth nothing where the reader knows nothing", () => {
    const turns = createAsked();
    turns.noteAnswer("reader:1", { askedAt: 10, ageMs: undefined }, 20);
    assert.equal(turns.isLed, false);
  });

  it("leaves the store alone while it is new", () => {
    const turns = createAsked();
    turns.noteAnswer("reader:1", { askedAt: 10, ageMs: 100 }, 20);
    assert.equal(turns.isLed, true);
    assert.equal(turns.next(150).kind, "nothing");
  });
});
