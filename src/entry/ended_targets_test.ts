import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { createInstance } from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";

const ONE = createInstance("one");
const TWO = createInstance("two");
const LEAVING_TWO = createInstance("two", { state: "leaving" });

interface EndedRow {
  readonly name: string;
  /** Lists that follow a list with both targets. */
  readonly lists: readonly (readonly BackEndInstance[])[];
  readonly ended: readonly string[];
}

const ROWS: readonly EndedRow[] = [
  {
    name: "that is missing from the list has ended",
    lists: [[ONE]],
    ended: ["two"],
  },
  {
    name: "whose address another target has now has ended",
    lists: [[
      ONE,
      LEAVING_TWO,
      createInstance("three", { address: TWO.address }),
    ]],
    ended: ["two"],
  },
  {
    name: "that was listed as leaving is not logged as ended",
    lists: [[ONE, LEAVING_TWO], [ONE]],
    ended: [],
  },
  {
    name: "that is missing from several lists is logged once",
    lists: [[ONE], [ONE], [ONE]],
    ended: ["two"],
  },
  {
    name: "that was listed again can end again",
    lists: [[ONE], [ONE, TWO], [ONE]],
    ended: ["two", "two"],
  },
];

/** Returns the targets that are logged as ended while the lists are applied. */
function endedBy({ lists }: EndedRow): readonly unknown[] {
  const entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });
  const all = [[ONE, TWO], ...lists];
  return all.flatMap((instances, now) =>
    entry.reduce({ kind: "instances_listed", now, instances })
  ).flatMap((effect) =>
    effect.kind === "log_decision" && effect.name === "TARGET_ENDED"
      ? [effect.details["target"]]
      : []
  );
}

describe("a target", () => {
  for (const row of ROWS) {
    it(row.name, () => {
      assert.deepEqual(endedBy(row), row.ended);
    });
  }
});
