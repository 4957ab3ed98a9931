import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import type { GroupLoad } from "../messages/formed_group_types.ts";
import {
  createCallerRequest,
  createDocuments,
  createInstance,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import { RoutingTable } from "./routing_table.ts";
import type { EntryEffect } from "./types.ts";

const POOL = "ranks";
const OBJECTIVE_MS = 400;
const DEADLINE_MS = 8000;
const IDLE_PASS_MS = 35;
/** Capacity in requests, at a cost of 0.5 ms for each request: (0.9 * 150 - 35) / 0.5. */
const CAPACITY = 200;
const GROUP_SETTINGS: GroupSettings = {
  layers: 3,
  experts: 128,
  slotsPerRank: 8,
  maxNewExperts: 2,
  loadMs: 300,
  pauseObjectiveMs: 150,
  stepMs: IDLE_PASS_MS / 7,
  stride: 7,
};

function createTable(priorities: readonly number[]): RoutingTable {
  return new RoutingTable(createDocuments([
    { path: "/organisations/andamaq", text: "kind: organisation" },
    ...priorities.map((priority, index) => ({
      path: `/organisations/andamaq/services/s${index}`,
      text: [
        "kind: service",
        `pathPrefix: /s${index}`,
        `pool: ${POOL}`,
        `priority: ${priority}`,
        `objectiveMs: ${OBJECTIVE_MS}`,
        "silenceLimitMs: 2000",
        `defaultDeadlineMs: ${DEADLINE_MS}`,
        `longestDeadlineMs: ${DEADLINE_MS}`,
      ].join("\n"),
    })),
  ]));
}

/** An entry with the services `/s0`, `/s1` and so on, and one large rank. */
class GateFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });
  #lastId = 0;

  constructor(priorities: readonly number[] = [3, 5, 7]) {
    const instances = [
      createInstance("one", { pool: POOL, concurrency: 1000 }),
    ];
    this.entry.reduce({ kind: "instances_listed", now: 0, instances });
    this.entry.reduce({
      kind: "settings_in_force",
      now: 0,
      routes: createTable(priorities),
      groups: new Map([[POOL, GROUP_SETTINGS]]),
    });
  }

  reportLoad(
    running: number,
    changes: Partial<GroupLoad> = {},
    now = 0,
  ): readonly EntryEffect[] {
    const row = { engineAddress: "one:80", running, queued: 0, pace: 1 };
    const load: GroupLoad = {
      pool: POOL,
      group: "group",
      isOpen: true,
      ageMs: 0,
      passMs: IDLE_PASS_MS + running / 2,
      loads: [row],
      ...changes,
    };
    return this.entry.reduce({ kind: "group_load_told", now, load });
  }

  request(
    service: number,
    { now = 0, deadlineMs = DEADLINE_MS } = {},
  ): readonly EntryEffect[] {
    const id = ++this.#lastId;
    const path = `/s${service}`;
    const request = createCallerRequest({ id, path, deadlineMs });
    return this.entry.reduce({ kind: "request_arrived", now, request });
  }

  /**
   * Sends 100 requests of a service; returns how many are sent to the rank immediately.
   */
  sentOf(service: number, now = 0): number {
    return Array.from({ length: 100 }, () => this.request(service, { now }))
      .filter(isSent).length;
  }

  tick(now: number): readonly EntryEffect[] {
    return this.entry.reduce({ kind: "tick", now });
  }
}

function isSent(effects: readonly EntryEffect[]): boolean {
  return effects.some(({ kind }) => kind === "send");
}

function ofKind<Kind extends EntryEffect["kind"]>(
  effects: readonly EntryEffect[],
  kind: Kind,
) {
  return effects.filter((effect): effect is EntryEffect & { kind: Kind } =>
    effect.kind === kind
  );
}

function recordsOf(effects: readonly EntryEffect[], name: string) {
  return ofKind(effects, "log_decision").filter((record) =>
    record.name === name
  );
}

describe("an entry with a rank group near its capacity", () => {
  it("sends all requests while the group has capacity left", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(0.6 * CAPACITY);
    assert.equal(fixture.sentOf(2), 100);
  });

  it("defers the less urgent requests, and never the most urgent", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    assert.equal(fixture.sentOf(0), 100);
    const ofMiddle = fixture.sentOf(1);
    const ofLast = fixture.sentOf(2);
    for (const sent of [ofMiddle, ofLast]) {
      assert.ok(sent >= 10 && sent <= 40, `${sent} of 100 sent, 25 expected`);
    }
  });

  it("refuses a deferred request with a retry delay before its caller leaves", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    for (let count = 0; count < 20; count++) fixture.request(2);
    fixture.reportLoad(1.2 * CAPACITY, {}, 1860);
    assert.equal(ofKind(fixture.tick(1939), "refuse_request").length, 0);
    const effects = fixture.tick(1940);
    const refusals = ofKind(effects, "refuse_request");
    assert.ok(refusals.length >= 8, `${refusals.length} of 20`);
    const times = refusals.map(({ problem }) => problem.retryAfterSeconds ?? 0);
    assert.equal(refusals[0]?.problem.code, 5035);
    assert.equal(refusals[0]?.problem.status, 503);
    // A third of the 6 s that remain until the deadline.
    assert.ok(Math.min(...times) >= 1 && Math.max(...times) <= 1.96);
    assert.ok(new Set(times).size > refusals.length / 2, `${times}`);
    const { details } = recordsOf(effects, "REQUEST_REFUSED")[0] ?? {};
    assert.equal(details?.load, 1.2 * CAPACITY);
    assert.equal(details?.capacity, CAPACITY);
    // The request was last evaluated 79 ms after the report.
    assert.equal(details?.reportAgeMs, 79);
  });

  it("sends deferred requests as soon as the group has capacity left", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    const deferred = 100 - fixture.sentOf(2);
    const effects = fixture.reportLoad(0.5 * CAPACITY, {}, 50);
    assert.equal(ofKind(effects, "send").length, deferred);
  });

  // Guards against a rank of requests by the time that their callers have left, from
  // which it was guessed which of them had been refused before.
  it("defers requests alike whatever time their callers have left", () => {
    const countSent = (deadlineMs: number) => {
      const fixture = new GateFixture();
      fixture.reportLoad(CAPACITY);
      for (let count = 0; count < 100; count++) {
        fixture.request(2, { deadlineMs });
      }
      let sent = 0;
      for (let now = 0; now < 1900; now += 50) {
        const effects = [
          ...fixture.reportLoad(CAPACITY, {}, now),
          ...fixture.tick(now),
        ];
        sent += ofKind(effects, "send").length;
      }
      return sent;
    };
    assert.equal(countSent(DEADLINE_MS / 2), countSent(DEADLINE_MS));
  });

  it("decides the same for a request however often it is evaluated", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    for (let count = 0; count < 100; count++) fixture.request(2);
    for (let now = 1; now < 79; now++) {
      assert.equal(ofKind(fixture.tick(now), "send").length, 0);
    }
  });

  it("counts each deferred request once, and logs a group once per second", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    const effects = Array.from({ length: 50 }, () => fixture.request(2)).flat();
    const deferred = 50 - ofKind(effects, "send").length;
    assert.equal(ofKind(effects, "count_held_back").length, deferred);
    assert.equal(recordsOf(effects, "GROUP_HOLDS_BACK").length, 1);
    const tick = fixture.tick(40);
    assert.equal(ofKind(tick, "count_held_back").length, 0);
  });

  it("ignores a report that is too old", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    assert.equal(fixture.sentOf(2, 1501), 100);
  });

  it("ignores the request costs of another formation of the group", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(100, { epoch: 1, passMs: 400 });
    assert.ok(fixture.sentOf(2) < 50);
    fixture.reportLoad(100, { epoch: 2 }, 10);
    assert.equal(fixture.sentOf(2, 10), 100);
  });

  it("returns load and capacity for five seconds after the last request", () => {
    const fixture = new GateFixture();
    fixture.reportLoad(1.2 * CAPACITY);
    fixture.request(0);
    const { gate } = fixture.entry;
    const utilization = { load: 1.2 * CAPACITY, capacity: CAPACITY, ageMs: 0 };
    assert.deepEqual(
      gate.utilizationsAt(4999),
      new Map([["group", utilization]]),
    );
    assert.equal(gate.utilizationsAt(5000).size, 0);
  });

  it("defers nothing in a pool whose services all have the same priority", () => {
    const fixture = new GateFixture([7, 7, 7]);
    fixture.reportLoad(1.2 * CAPACITY);
    assert.equal(fixture.sentOf(2), 100);
  });
});
