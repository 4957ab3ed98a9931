/**
 * Guards against running a key more than once and against wrong reports of whether a
 * request ran. Random schedules of messages, crashes, freezes and moves of key slots can
 * cause these failures.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  RequestSimulation,
  type RequestSimulationOptions,
} from "../testing/request_simulation.ts";
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

const BASE_WEIGHTS: Partial<Record<ActionKind, number>> = {
  submit: 6,
  submit_keyed: 8,
  abandon: 1,
  deliver: 40,
  progress: 25,
  tick: 4,
  start_look: 2,
  finish_look: 2,
};

interface FaultCase {
  readonly name: string;
  readonly faultWeights: Partial<Record<ActionKind, number>>;
  readonly options?: Partial<RequestSimulationOptions>;
}

const FAULT_CASES: readonly FaultCase[] = [
  { name: "delayed and reordered messages", faultWeights: {} },
  {
    name: "streamed answers",
    faultWeights: {},
    options: { isStreamed: true },
  },
  {
    name: "answers cut off",
    faultWeights: { fail_run: 3 },
    options: { isStreamed: true },
  },
  {
    name: "connections lost and reestablished",
    faultWeights: { disconnect: 2, stall: 2, connect: 3 },
  },
  {
    name: "targets killed and restarted without their state",
    faultWeights: { kill: 1, restart: 1, connect: 2 },
  },
  {
    name: "targets frozen while the VM list reports them as gone",
    faultWeights: {
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
    name: "outages of the key-value service",
    faultWeights: {
      key_value: 3,
      kill: 1,
      restart: 2,
      connect: 2,
      fail_run: 1,
    },
  },
  {
    name: "targets leaving",
    faultWeights: {
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
    name: "all faults combined",
    faultWeights: {
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

function createActionArbitrary(faultCase: FaultCase): fc.Arbitrary<Action> {
  const weights = { ...BASE_WEIGHTS, ...faultCase.faultWeights };
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

function performAction(simulation: RequestSimulation, action: Action): void {
  const { target, choice } = action;
  switch (action.kind) {
    case "submit":
      simulation.submit(choice % ENTRIES, {
        method: choice % 3 === 0 ? "GET" : "POST",
        body: `body ${choice}`,
      });
      return;
    case "submit_keyed":
      simulation.submit(choice % ENTRIES, { key: `key-${choice % KEYS}` });
      return;
    case "abandon": {
      const submission = simulation.callers.submissions.at(-1 - choice % 5);
      if (submission !== undefined) simulation.disconnectCaller(submission);
      return;
    }
    case "deliver":
      return simulation.deliver(choice);
    case "progress":
      return simulation.progressRun(target, choice);
    case "fail_run":
      return simulation.failRun(target, choice);
    case "tick":
      return simulation.tick(choice);
    case "long_tick":
      return simulation.tick(choice * 50);
    case "disconnect":
      return simulation.disconnect(choice);
    case "stall":
      return simulation.stall(choice);
    case "connect":
      simulation.unstallAll();
      return simulation.connectAll();
    case "kill":
      return simulation.kill(target);
    case "restart":
      return simulation.restart(target);
    case "pause":
      return simulation.pause(target);
    case "wake":
      return simulation.resume(target);
    case "list_gone":
      return simulation.listGone(target);
    case "list_live":
      return simulation.listLive(target);
    case "key_value":
      simulation.isKeyValueDown = choice % 2 === 0;
      return;
    case "start_look":
      return simulation.startRead(target);
    case "finish_look":
      return simulation.finishRead(target);
    case "drain":
      return simulation.drain(target);
    case "release":
      return simulation.release(target);
    case "hand_over":
      return simulation.handOver(target);
  }
}

describe("requests under faults", () => {
  for (const faultCase of FAULT_CASES) {
    it(`runs each key at most once and reports outcomes correctly: ${faultCase.name}`, (context) => {
      const counts = createCounts();
      const keyed = createCounts();
      fc.assert(
        fc.property(
          fc.array(createActionArbitrary(faultCase), {
            minLength: 30,
            maxLength: 250,
          }),
          (actions) => {
            const simulation = new RequestSimulation({
              entries: ENTRIES,
              targets: TARGETS,
              ...faultCase.options,
            });
            for (const action of actions) {
              performAction(simulation, action);
              simulation.checkInvariants();
            }
            simulation.unstallAll();
            simulation.connectAll();
            for (let target = 0; target < TARGETS; target++) {
              simulation.resume(target);
            }
            simulation.settle();
            simulation.checkInvariants();
            addOutcomes(simulation.callers.submissions, counts);
            addOutcomes(
              simulation.callers.submissions.filter((submission) =>
                submission.key !== undefined
              ),
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

function addOutcomes(
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
