import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnswerTimes } from "../policy/answer_times.ts";
import { createCallerRequest, createDocuments } from "../testing/fixtures.ts";
import { InFlightRequest } from "./in_flight_request.ts";
import { RoutingTable } from "./routing_table.ts";
import { WaitingRequests } from "./waiting_requests.ts";

const MAX_WAITING = 256;
/** Priorities of the services `/s0`, `/s1` and `/s2` of one pool. */
const PRIORITIES = [3, 5, 7];
const TABLE = new RoutingTable(createDocuments([
  { path: "/organisations/andamaq", text: "kind: organisation" },
  ...PRIORITIES.map((priority, index) => ({
    path: `/organisations/andamaq/services/s${index}`,
    text: [
      "kind: service",
      `pathPrefix: /s${index}`,
      "pool: ranks",
      `priority: ${priority}`,
      "objectiveMs: 400",
    ].join("\n"),
  })),
]));

interface Caller {
  readonly service?: number;
  readonly organisation?: string;
  readonly deadlineAt?: number;
  readonly isMixed?: boolean;
}

function createRequest(id: number, caller: Caller = {}): InFlightRequest {
  const { service = 1, organisation = "andamaq", deadlineAt = 8000 } = caller;
  const route = TABLE.tryFindRoute({ path: `/s${service}` });
  assert.ok(route);
  const request = createCallerRequest({ id });
  return new InFlightRequest(request, { ...route, organisation }, {
    arrivedAt: 0,
    deadlineAt,
    pool: "ranks",
    poolPriorities: caller.isMixed === false
      ? undefined
      : TABLE.priorities.tryPrioritiesOf("ranks"),
    digestKey: "",
  });
}

const STALLED = { reason: "GROUP_STALLED" } as const;

function addAll(
  waiting: WaitingRequests,
  callers: readonly Caller[],
): readonly boolean[] {
  return callers.map((caller, index) =>
    waiting.tryAdd(createRequest(index + 1, caller), STALLED, 0)
  );
}

function idsOf(waiting: WaitingRequests): readonly number[] {
  return waiting.all().map(({ request }) => request.id);
}

describe("waiting requests", () => {
  it("are ordered by priority, then by organisations in turn, then by age", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    addAll(waiting, [
      { service: 2 },
      { service: 1, organisation: "large" },
      { service: 1, organisation: "large" },
      { service: 1, organisation: "small" },
      { service: 0 },
    ]);
    assert.deepEqual(idsOf(waiting), [5, 2, 4, 3, 1]);
  });

  it("that are sent count as the turn of their organisation", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    addAll(waiting, [
      { organisation: "large" },
      { organisation: "large" },
      { organisation: "small" },
    ]);
    waiting.take(1);
    assert.deepEqual(idsOf(waiting), [3, 2]);
  });

  // Guards against requests that are sent last, or never, because they came or waited
  // before others.
  it("are ordered by the time that their callers have left", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    addAll(waiting, [
      { deadlineAt: 8000 },
      { deadlineAt: 3000 },
      { deadlineAt: 5000 },
    ]);
    assert.deepEqual(idsOf(waiting), [2, 3, 1]);
  });

  // Guards against waits of one organisation behind all requests of a larger one.
  it("of a pool with a single priority go by organisations in turn, too", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    const isMixed = false;
    addAll(waiting, [
      { organisation: "large", isMixed },
      { organisation: "large", isMixed },
      { organisation: "small", isMixed },
    ]);
    assert.deepEqual(idsOf(waiting), [1, 3, 2]);
  });

  it("come before a new one that is not more urgent", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    addAll(waiting, [{ service: 1 }]);
    assert.equal(waiting.hasBacklogBefore(createRequest(2)), true);
    const urgent = createRequest(3, { service: 0 });
    assert.equal(waiting.hasBacklogBefore(urgent), false);
  });

  it("are displaced by a more urgent one when the queue is full", () => {
    const waiting = new WaitingRequests(new AnswerTimes());
    const callers = Array.from(
      { length: MAX_WAITING },
      () => ({ service: 2 }),
    );
    addAll(waiting, callers);
    const add = (id: number, caller: Caller) =>
      waiting.tryAdd(createRequest(id, caller), STALLED, 0);
    assert.equal(add(1000, { service: 2 }), false);
    assert.equal(add(1002, { service: 0 }), true);
    assert.equal(waiting.size, MAX_WAITING);
    assert.equal(idsOf(waiting)[0], 1002);
    const [displaced, ...others] = waiting.takeExpired(0);
    assert.equal(displaced?.inFlight.request.id, MAX_WAITING);
    assert.equal(others.length, 0);
  });
});
