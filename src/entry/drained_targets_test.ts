/**
 * Guards against sending requests to a drained failure domain. Operators remove its VMs,
 * and each request that still reaches one of them is lost. Requests can reach a target as
 * first attempts, retries, resumed streams, after a wait, and as requests of a key that
 * it owns.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { getKeyFingerprint, getKeySlot } from "../core/idempotency_key.ts";
import { RandomSource } from "../core/random_source.ts";
import { RAMP_UP_MS } from "../policy/domain_drains.ts";
import {
  createCallerRequest,
  createInstance,
  createRefused,
  createRoutes,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import type { CallerRequest, EntryEffect, EntryEvent } from "./types.ts";

const REQUESTS = 40;
const SERVICE = [
  "resumable: true",
  "idempotentMethods: [POST]",
  "retryShare: 1",
  "objectiveMs: 400",
];

/** One entry with two targets in each of the failure domains a, b and c. */
class DrainFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(7),
  });
  #requests = 0;

  constructor(drained: readonly string[] = []) {
    const routes = createRoutes({ service: SERVICE });
    this.reduce({ kind: "settings_in_force", now: 0, routes });
    this.drain(drained);
    this.list(["a", "b", "c"]);
  }

  reduce(event: EntryEvent): readonly EntryEffect[] {
    return this.entry.reduce(event);
  }

  drain(failureDomains: readonly string[], now = 0): readonly EntryEffect[] {
    return this.reduce({
      kind: "failure_domains_drained",
      now,
      failureDomains,
    });
  }

  list(domains: readonly string[]): readonly EntryEffect[] {
    const instances = domains.flatMap((failureDomain) =>
      [1, 2].map((number) =>
        createInstance(`${failureDomain}-${number}`, { failureDomain })
      )
    );
    return this.reduce({ kind: "instances_listed", now: 0, instances });
  }

  request(
    changes: Partial<CallerRequest> = {},
    now = 0,
  ): readonly EntryEffect[] {
    const request = createCallerRequest({ id: ++this.#requests, ...changes });
    return this.reduce({ kind: "request_arrived", now, request });
  }

  /**
   * Returns the failure domains that several requests are sent to, in alphabetical order.
   */
  domainsOfRequests(now = 0): string {
    const sent = Array.from({ length: REQUESTS }, () => this.request({}, now));
    return [...new Set(sent.flatMap(domainsOf))].sort().join(" ");
  }
}

function domainsOf(effects: readonly EntryEffect[]): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "submit"
      ? [effect.targetName.slice(0, 1)]
      : []
  );
}

function refusalsOf(effects: readonly EntryEffect[]): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === "count_refusal" ? [effect.reason] : []
  );
}

function loggedOf(effects: readonly EntryEffect[]): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === "log_decision"
      ? [`${effect.name} ${effect.details["failureDomain"]}`]
      : []
  );
}

interface DrainRow {
  readonly name: string;
  /** Sets of drained failure domains, applied one after the other. */
  readonly drains: readonly (readonly string[])[];
  /** Failure domains that requests are sent to after the last set. */
  readonly sentTo: string;
}

const ROWS: readonly DrainRow[] = [
  { name: "one failure domain", drains: [["a"]], sentTo: "b c" },
  { name: "two at once", drains: [["a", "c"]], sentTo: "b" },
  {
    name: "two that overlap in time",
    drains: [["a"], ["a", "b"], ["b"]],
    sentTo: "a c",
  },
  { name: "one that is unknown", drains: [["z"]], sentTo: "a b c" },
  { name: "one drained again", drains: [["a"], [], ["a"]], sentTo: "b c" },
  { name: "all", drains: [["a", "b", "c"]], sentTo: "" },
];

describe("a drain of", () => {
  for (const { name, drains, sentTo } of ROWS) {
    it(`${name} prevents first attempts there`, () => {
      const fixture = new DrainFixture();
      for (const domains of drains) fixture.drain(domains);
      assert.equal(fixture.domainsOfRequests(RAMP_UP_MS), sentTo);
    });
  }
});

describe("a drained failure domain", () => {
  it("gets no requests from an entry that starts, nor do targets listed later", () => {
    const fixture = new DrainFixture(["a", "d"]);
    assert.equal(fixture.domainsOfRequests(), "b c");
    fixture.list(["a", "b", "d"]);
    assert.equal(fixture.domainsOfRequests(), "b");
  });

  it("gets no retries and no resumed streams", () => {
    const fixture = new DrainFixture(["a", "c"]);
    for (let id = 100; id < 100 + REQUESTS; id++) {
      const [first] = fixture.request({ id }).flatMap((effect) =>
        effect.kind === "send" ? [effect] : []
      );
      assert.ok(first?.message.kind === "submit");
      const attempt = { requestId: id, attempt: 1 };
      const { targetName } = first;
      const receive = (message: Parameters<typeof createMessage>[1]) =>
        fixture.reduce(createMessage(targetName, message));
      if (id % 2 === 0) {
        receive({
          kind: "answer_head",
          ...attempt,
          sequence: 0,
          status: 200,
          headers: [["content-type", "text/event-stream"]],
        });
        const bytes = Buffer.from("id: 1\ndata: x\n\n");
        receive({ kind: "answer_data", ...attempt, sequence: 1, bytes });
      }
      const retry = receive(createRefused(attempt, "BACK_END_FAILED"));
      assert.deepEqual(domainsOf(retry), ["b"]);
    }
  });

  it("finishes its requests in flight", () => {
    const fixture = new DrainFixture(["b", "c"]);
    assert.deepEqual(domainsOf(fixture.request()), ["a"]);
    const effects = fixture.drain(["a", "b", "c"]);
    assert.ok(effects.every(({ kind }) => kind === "log_decision"));
  });

  it("gets no waiting request, which is refused if no other target is left", () => {
    const fixture = new DrainFixture(["a"]);
    fixture.list([]);
    assert.deepEqual(refusalsOf(fixture.request()), []);
    assert.deepEqual(domainsOf(fixture.list(["a"])), []);
    const refused = refusalsOf(fixture.drain(["a", "b"]));
    assert.deepEqual(refused, ["DOMAINS_DRAINED"]);
  });

  it("gets no request of a key that a target there owns", () => {
    const fixture = new DrainFixture();
    const idempotencyKey = "key-1";
    const slot = getKeySlot(getKeyFingerprint({
      organisation: "andamaq",
      service: "/organisations/andamaq/services/confirm",
      idempotencyKey,
    }));
    fixture.reduce(createMessage("a-1", {
      kind: "claims",
      version: 1,
      slotCount: 64,
      slots: [slot],
    }));
    assert.deepEqual(domainsOf(fixture.request({ idempotencyKey })), ["a"]);
    fixture.drain(["a"]);
    const effects = fixture.request({ idempotencyKey });
    assert.deepEqual(refusalsOf(effects), ["DOMAINS_DRAINED"]);
    const [problem] = effects.flatMap((effect) =>
      effect.kind === "refuse_request" ? [effect.problem] : []
    );
    assert.equal(problem?.status, 503);
    assert.ok((problem?.retryAfterSeconds ?? 0) > 0);
  });

  it("keeps its ranks running for the other ranks of their group", () => {
    const fixture = new DrainFixture();
    const ids = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
    const ranks = ids.map((id) => ({
      engineAddress: `${id}:80`,
      group: "group",
    }));
    fixture.reduce({ kind: "ranks_listed", ranks });
    fixture.drain(["a"]);
    const observation = { group: "group", isOpen: true, ageMs: 0 };
    fixture.reduce({
      kind: "group_seen",
      now: 0,
      observation: { kind: "group_sight", ...observation },
    });
    assert.equal(fixture.domainsOfRequests(), "b c");
    assert.ok(fixture.entry.registry.groups.isComplete("group"));
  });

  it("is logged as drained with targets, or as without targets if it has none", () => {
    const fixture = new DrainFixture();
    assert.deepEqual(loggedOf(fixture.drain(["a", "z"])), [
      "DOMAIN_DRAINED a",
      "DOMAIN_WITHOUT_TARGETS z",
    ]);
    const listed = fixture.list(["a", "b", "c", "z"]);
    assert.deepEqual(loggedOf(listed), ["DOMAIN_DRAINED z"]);
  });
});

describe("a failure domain whose drain has ended", () => {
  /**
   * Returns the share of requests sent to failure domain a that long after the drain
   * ended.
   */
  function shareAfter(milliseconds: number): number {
    const fixture = new DrainFixture(["a"]);
    fixture.drain([], 0);
    const sent = Array.from(
      { length: 400 },
      () => domainsOf(fixture.request({}, milliseconds)),
    );
    return sent.filter(([domain]) => domain === "a").length / sent.length;
  }

  it("gets a gradually increasing share of requests", () => {
    const shares = [0, 0.2, 0.5, 1].map((fraction) =>
      shareAfter(fraction * RAMP_UP_MS)
    );
    assert.equal(shares[0], 0);
    const sorted = [...shares].sort((left, right) => left - right);
    assert.deepEqual(shares, sorted);
    assert.ok((shares[1] as number) <= 0.25, `${shares}`);
  });

  it("gets all requests if no other target is available", () => {
    const fixture = new DrainFixture(["a", "b", "c"]);
    fixture.drain(["b", "c"], 0);
    assert.equal(fixture.domainsOfRequests(), "a");
  });
});

function createMessage(
  targetName: string,
  message: Extract<EntryEvent, { kind: "message_received" }>["message"],
): EntryEvent {
  return { kind: "message_received", now: 0, targetName, message };
}
