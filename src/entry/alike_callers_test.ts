import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EntryEffect } from "./types.ts";
import {
  createRow,
  DirectFixture,
  STREAM_LINES,
  tryGetProblem,
} from "../testing/direct_entry_fixture.ts";
import { createInstance } from "../testing/fixtures.ts";

/** Time that the observed caller has left, in milliseconds. */
const LEFT_MS = 5000;
/** Deadlines that the service allows its callers: as long, or much longer. */
const LONGEST_DEADLINES_MS = [LEFT_MS, 20_000];
/** Objectives of the service. */
const OBJECTIVES_MS = [100, 500];
/** When the group of a waiting request opens. */
const OPENS_AT = 300;
const STEP_MS = 10;
const END_MS = 6000;

/** What must not decide how a request is treated. */
interface World {
  /** Longest deadline of the service's callers. */
  readonly longestDeadlineMs: number;
  readonly objectiveMs: number;
}

/** A state of the pool, set up before the observed request arrives. */
interface PoolState {
  readonly name: string;
  readonly prepare: (fixture: DirectFixture) => void;
  /** Called at each step after the request has arrived. */
  readonly continue?: (
    fixture: DirectFixture,
    now: number,
  ) => readonly EntryEffect[];
}

const STATES: readonly PoolState[] = [
  { name: "free", prepare: () => {} },
  {
    name: "full",
    prepare: (fixture) => void reportFull(fixture, 0),
    continue: reportFull,
  },
  {
    name: "stalled",
    prepare: (fixture) => fixture.observeGroup(false, 0),
    continue: (fixture, now) => fixture.observeGroup(false, now),
  },
  {
    name: "without a rank that is known to be lost",
    prepare: (fixture) => {
      fixture.list([createInstance("one")]);
      fixture.observeGroup(false, 0);
    },
    continue: (fixture, now) => fixture.observeGroup(false, now),
  },
  { name: "without targets", prepare: (fixture) => fixture.list([]) },
  {
    name: "closed until it opens",
    prepare: (fixture) => fixture.observeGroup(false, 0),
    continue: (fixture, now) => fixture.observeGroup(now >= OPENS_AT, now),
  },
];

function reportFull(fixture: DirectFixture, now: number) {
  const rows = ["one", "two"].map((id) =>
    createRow(id, { running: 8, queued: 4 })
  );
  return fixture.reportLoad(rows, { now });
}

/** What an entry did with a request, and when. */
interface Treatment {
  readonly at: number;
  readonly outcome: "sent" | "refused";
  /** Priority with which it was sent. */
  readonly priority?: number;
  readonly retryAfterSeconds?: number;
}

function tryGetTreatment(
  effects: readonly EntryEffect[],
  at: number,
): Treatment | undefined {
  for (const effect of effects) {
    if (effect.kind === "send" && effect.message.kind === "submit") {
      return { at, outcome: "sent", priority: effect.message.priority };
    }
  }
  const problem = tryGetProblem(effects);
  if (problem === undefined) return undefined;
  const { retryAfterSeconds } = problem;
  return { at, outcome: "refused", retryAfterSeconds };
}

/** Returns how the observed request is treated. */
function observeTreatment(state: PoolState, world: World): Treatment {
  const { longestDeadlineMs, objectiveMs } = world;
  const fixture = new DirectFixture(["one", "two"], {
    service: [
      ...(STREAM_LINES.service ?? []).filter((line) =>
        !/DeadlineMs|objectiveMs/.test(line)
      ),
      `defaultDeadlineMs: ${longestDeadlineMs}`,
      `longestDeadlineMs: ${longestDeadlineMs}`,
      `objectiveMs: ${objectiveMs}`,
      "pauseObjectiveMs: 120",
    ],
  });
  fixture.listRanks(["one", "two"]);
  fixture.reportLoad([createRow("one"), createRow("two")]);
  state.prepare(fixture);
  let treatment = tryGetTreatment(fixture.request({ deadlineMs: LEFT_MS }), 0);
  for (let at = STEP_MS; treatment === undefined && at < END_MS;) {
    const effects = [
      ...state.continue?.(fixture, at) ?? [],
      ...fixture.tick(at),
    ];
    treatment = tryGetTreatment(effects, at);
    at += STEP_MS;
  }
  assert.ok(treatment !== undefined, "Neither sent nor refused");
  return treatment;
}

describe("a request with the same time left", () => {
  for (const state of STATES) {
    // Guards against a guess, from the deadlines of others, which attempt this is.
    it(`is treated alike whatever time others have if its pool is ${state.name}`, () => {
      const [first, ...others] = LONGEST_DEADLINES_MS.map((longestDeadlineMs) =>
        observeTreatment(state, { longestDeadlineMs, objectiveMs: 400 })
      );
      for (const other of others) assert.deepEqual(other, first);
    });

    // Guards against waits and ranks that are a share of the objective: a caller stays
    // as long whether or not its answer can still be on time.
    it(`is treated alike whatever its objective if its pool is ${state.name}`, () => {
      const [first, ...others] = OBJECTIVES_MS.map((objectiveMs) =>
        observeTreatment(state, { longestDeadlineMs: LEFT_MS, objectiveMs })
      );
      for (const other of others) assert.deepEqual(other, first);
    });
  }
});
