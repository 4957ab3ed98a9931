import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  RequestWorld,
  type RequestWorldOptions,
} from "../testing/request_world.ts";
import type { Submission } from "../testing/submissions.ts";

const SEED = 20261202;
const RUNS = 400;
const ENTRIES = 2;
const TARGETS = 2;
const KEYS = 4;

type ActionKind =
  | "submit"
  | "submit_keyed"
  | "abandon"
  | "deliver"
  | "progress"
  | "fail_run"
  | "tick"
  | "long_tick"
  | "disconnect"
  | "stall"
  | "connect"
  | "kill"
  | "restart"
  | "pause"
  | "wake"
  | "list_gone"
  | "list_live"
  | "key_value"
  | "start_look"
  | "finish_look"
  | "drain"
  | "release"
  | "hand_over";

interface Action {
  readonly kind: ActionKind;
  readonly target: number;
  readonly choice: number;
}

const QUIET: Partial<Record<ActionKind, number>> = {
  submit: 6,
  submit_keyed: 8,
  abandon: 1,
  deliver: 40,
  progress: 25,
  tick: 4,
  start_look: 2,
  finish_look: 2,
};

interface FaultRow {
  readonly name: string;
  readonly faults: Partial<Record<ActionKind, number>>;
  readonly world?: Partial<RequestWorldOptions>;
}

const FAULT_ROWS: readonly FaultRow[] = [
  { name: "late and crossed messages", faults: {} },
  { name: "streamed answers", faults: {}, world: { isStreamed: true } },
  {
    name: "answers broken off",
    faults: { fail_run: 3 },
    world: { isStreamed: true },
  },
  {
    name: "connections lost and made anew",
    faults: { disconnect: 2, stall: 2, connect: 3 },
  },
  {
    name: "targets killed and restarted without memory",
    faults: { kill: 1, restart: 1, connect: 2 },
  },
  {
    name: "targets paused beyond the word of the machine list",
    faults: {
      pause: 1,
      wake: 2,
      list_gone: 1,
      list_live: 1,
      long_tick: 2,
      start_look: 4,
      finish_look: 4,
    },
  },
  {
    name: "the key-value service down",
    faults: { key_value: 3, kill: 1, restart: 2, connect: 2, fail_run: 1 },
  },
  {
    name: "targets leaving",
    faults: {
      drain: 1,
      restart: 1,
      connect: 2,
      start_look: 4,
      finish_look: 4,
      release: 4,
      hand_over: 20,
    },
  },
  {
    name: "everything at once",
    faults: {
      fail_run: 1,
      disconnect: 1,
      stall: 1,
      connect: 2,
      kill: 1,
      restart: 1,
      pause: 1,
      wake: 1,
      list_gone: 1,
      list_live: 1,
      key_value: 1,
      drain: 1,
      release: 3,
      hand_over: 15,
      long_tick: 1,
    },
  },
];

function actionArbitrary(row: FaultRow): fc.Arbitrary<Action> {
  const weights = { ...QUIET, ...row.faults };
  const kinds = Object.entries(weights).map(([kind, weight]) => ({
    weight,
    arbitrary: fc.constant(kind as ActionKind),
  }));
  return fc.record({
    kind: fc.oneof(...kinds),
    target: fc.nat(TARGETS - 1),
    choice: fc.nat(1000),
  });
}

function act(world: RequestWorld, action: Action): void {
  const { target, choice } = action;
  switch (action.kind) {
    case "submit":
      world.submit(choice % ENTRIES, {
        method: choice % 3 === 0 ? "GET" : "POST",
        body: `body ${choice}`,
      });
      return;
    case "submit_keyed":
      world.submit(choice % ENTRIES, { key: `key-${choice % KEYS}` });
      return;
    case "abandon": {
      const submission = world.callers.submissions.at(-1 - choice % 5);
      if (submission !== undefined) world.abandon(submission);
      return;
    }
    case "deliver":
      return world.deliver(choice);
    case "progress":
      return world.progressRun(target, choice);
    case "fail_run":
      return world.failRun(target, choice);
    case "tick":
      return world.tick(choice);
    case "long_tick":
      return world.tick(choice * 50);
    case "disconnect":
      return world.disconnect(choice);
    case "stall":
      return world.stall(choice);
    case "connect":
      world.unstallAll();
      return world.connectAll();
    case "kill":
      return world.kill(target);
    case "restart":
      return world.restart(target);
    case "pause":
      return world.pause(target);
    case "wake":
      return world.wake(target);
    case "list_gone":
      return world.listGone(target);
    case "list_live":
      return world.listLive(target);
    case "key_value":
      world.isKeyValueDown = choice % 2 === 0;
      return;
    case "start_look":
      return world.startLook(target);
    case "finish_look":
      return world.finishLook(target);
    case "drain":
      return world.drain(target);
    case "release":
      return world.release(target);
    case "hand_over":
      return world.handOver(target);
  }
}

describe("requests under faults", () => {
  for (const row of FAULT_ROWS) {
    it(`runs a key at most once and tells no lie: ${row.name}`, (context) => {
      const counts = createCounts();
      const keyed = createCounts();
      fc.assert(
        fc.property(
          fc.array(actionArbitrary(row), { minLength: 30, maxLength: 250 }),
          (actions) => {
            const world = new RequestWorld({
              entries: ENTRIES,
              targets: TARGETS,
              ...row.world,
            });
            for (const action of actions) {
              act(world, action);
              world.checkInvariants();
            }
            world.unstallAll();
            world.connectAll();
            for (let target = 0; target < TARGETS; target++) world.wake(target);
            world.settle();
            world.checkInvariants();
            count(world.callers.submissions, counts);
            count(
              world.callers.submissions.filter((one) => one.key !== undefined),
              keyed,
            );
          },
        ),
        { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
      );
      assert.ok(counts.answered > RUNS, JSON.stringify(counts));
      context.diagnostic(`all ${JSON.stringify(counts)}`);
      context.diagnostic(`keyed ${JSON.stringify(keyed)}`);
    });
  }
});

interface OutcomeCounts {
  answered: number;
  notRun: number;
  unknown: number;
  cut: number;
}

function createCounts(): OutcomeCounts {
  return { answered: 0, notRun: 0, unknown: 0, cut: 0 };
}

function count(
  submissions: readonly Submission[],
  counts: OutcomeCounts,
): void {
  for (const { outcome } of submissions) {
    if (outcome === undefined) continue;
    if (outcome.isCut) counts.cut++;
    else if (outcome.problem === undefined) counts.answered++;
    else if (outcome.problem.submission === "not-run") counts.notRun++;
    else counts.unknown++;
  }
}
