import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PRIORITIES_BY_NAME } from "../messages/priority.ts";
import {
  createRow,
  DirectFixture,
  getAllSent,
  getSent,
  STREAM_LINES,
  tryGetProblem,
} from "../testing/direct_entry_fixture.ts";
import {
  createInstance,
  createRefused,
  type RouteLines,
} from "../testing/fixtures.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

/** Creates an entry to which one rank of a group reported that the other one is lost. */
function createFixtureWithLostRank() {
  const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
  fixture.listRanks(["one", "two"]);
  const { target, message } = getSent(fixture.request({ deadlineMs: 8022 }));
  const lost = target === "one" ? "two" : "one";
  const refused = createRefused(message, "GROUP_CLOSED");
  const refusal = fixture.receive(target, { ...refused, lostPeer: lost });
  return { fixture, refusal, survivor: target, lost };
}

describe("pools that are full or lost", () => {
  // Guards against refusals of callers that could still be answered.
  it("let a request wait as long as its caller does for a free slot", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    const full = [createRow("one", { running: 8, queued: 4 })];
    fixture.reportLoad(full);
    assert.equal(
      tryGetProblem(fixture.request({ deadlineMs: 8022 })),
      undefined,
    );
    fixture.reportLoad(full, { now: 1000 });
    assert.equal(tryGetProblem(fixture.tick(1930)), undefined);
    assert.equal(tryGetProblem(fixture.tick(1940))?.reason, "POOL_FULL");
  });

  it("let a request with less time left wait until they are available", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.reportLoad([createRow("one")], { isOpen: false });
    assert.equal(
      tryGetProblem(fixture.request({ deadlineMs: 5000 })),
      undefined,
    );
    fixture.reportLoad([createRow("one")], { isOpen: false, now: 800 });
    assert.equal(tryGetProblem(fixture.tick(900)), undefined);
    const effects = fixture.reportLoad([createRow("one")], { now: 1000 });
    assert.equal(getSent(effects).target, "one");
  });

  it("refuse a request immediately while a rank of their group is lost", () => {
    const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
    fixture.reportLoad([createRow("one"), createRow("two")]);
    fixture.list([createInstance("one")]);
    fixture.observeGroup(false, 5);
    const problem = tryGetProblem(fixture.request({ deadlineMs: 8022 }));
    assert.equal(problem?.reason, "GROUP_CLOSED");
    assert.equal(problem?.submission, "not-run");
    // A third of the 8 s that remain until the caller's deadline.
    assert.equal(problem?.retryAfterSeconds, 2.6);
  });

  it("let a request wait as long as its caller does while no rank is known to be lost", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.reportLoad([createRow("one")], { isOpen: false });
    assert.equal(
      tryGetProblem(fixture.request({ deadlineMs: 8022 })),
      undefined,
    );
    fixture.observeGroup(false, 1000);
    assert.equal(tryGetProblem(fixture.tick(1930)), undefined);
    const problem = tryGetProblem(fixture.tick(1940));
    assert.equal(problem?.reason, "GROUP_STALLED");
    assert.equal(problem?.submission, "not-run");
    // A third of the 6 s that remain until the caller's deadline.
    assert.equal(problem?.retryAfterSeconds, 1.96);
  });

  it("refuse a waiting request as soon as a rank is known to be lost", () => {
    const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
    fixture.reportLoad([createRow("one"), createRow("two")]);
    fixture.observeGroup(false, 5);
    assert.equal(
      tryGetProblem(fixture.request({ deadlineMs: 8022 })),
      undefined,
    );
    fixture.list([createInstance("one")]);
    assert.equal(tryGetProblem(fixture.tick(100))?.reason, "GROUP_CLOSED");
  });

  // Guards against requests that wait for a group although a target has reported the loss
  // of one of its ranks, because the platform's list does not show it yet.
  it("refuse a request immediately if a target names the lost rank", () => {
    const { fixture, refusal } = createFixtureWithLostRank();
    assert.equal(tryGetProblem(refusal)?.reason, "GROUP_CLOSED");
    const next = tryGetProblem(fixture.request({ id: 2, deadlineMs: 8022 }));
    assert.equal(next?.reason, "GROUP_CLOSED");
  });

  it("let requests wait again once a rank that was named as lost has restarted", () => {
    const { fixture, survivor, lost } = createFixtureWithLostRank();
    const address = `${lost}:80`;
    fixture.list([
      createInstance(survivor),
      createInstance("anew", { address }),
    ]);
    const next = fixture.request({ id: 2, deadlineMs: 8022 });
    assert.equal(tryGetProblem(next), undefined);
  });

  it("let requests wait again once a rank reports the group as running", () => {
    const { fixture } = createFixtureWithLostRank();
    fixture.observeGroup(true, 700);
    fixture.observeGroup(false, 900);
    const next = fixture.request({ id: 2, deadlineMs: 8022 });
    assert.equal(tryGetProblem(next), undefined);
  });

  it("serve a waiting request as soon as their group is running again", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.reportLoad([createRow("one")], { isOpen: false });
    fixture.request({ deadlineMs: 8022 });
    const effects = fixture.reportLoad([createRow("one")], { now: 200 });
    assert.equal(getSent(effects).target, "one");
    assert.equal(getSent(effects).message.priority, PRIORITIES_BY_NAME.normal);
  });

  // Guards against targets that serve a request last because it has waited.
  it("serve a request that has waited with its own priority", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.reportLoad([createRow("one")], { isOpen: false });
    fixture.request({ deadlineMs: 8022 });
    const effects = fixture.reportLoad([createRow("one")], { now: 900 });
    assert.equal(getSent(effects).message.priority, PRIORITIES_BY_NAME.normal);
  });

  // Guards against refusals for as long as passes are too long, whatever their cause:
  // with few requests they would be as long, and callers would get no answer.
  it("get waiting requests while passes are long unless they have just opened", () => {
    const countSent = (openedAt: number) => {
      const fixture = new DirectFixture(["one"], {
        service: [...STREAM_LINES.service ?? [], "pauseObjectiveMs: 120"],
      });
      fixture.listRanks(["one"]);
      fixture.observeGroup(false, openedAt - 100);
      fixture.observeGroup(true, openedAt);
      const report = (running: number, now: number) =>
        fixture.reportLoad([createRow("one", { running })], {
          now,
          passMs: 200,
        });
      report(10, 5000);
      for (let id = 1; id <= 4; id++) {
        fixture.request({ id, deadlineMs: 8000 });
      }
      return getAllSent(report(4, 5100)).length;
    };
    assert.equal(countSent(0), 4);
    assert.equal(countSent(4900), 0);
  });

  // Guards against requests that stay behind because one before them cannot be sent.
  it("get the requests behind one that was tried at all of their targets", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.listRanks(["one"]);
    const first = getSent(fixture.request({ deadlineMs: 8022 }));
    fixture.receive(first.target, createRefused(first.message, "GROUP_CLOSED"));
    fixture.request({ id: 2, deadlineMs: 8022 });
    const sent = getAllSent(fixture.observeGroup(true, 700));
    assert.deepEqual(sent.map(({ message }) => message.requestId), [2]);
  });

  it("are known to be lost by the report of a rank near the entry", () => {
    const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
    fixture.listRanks(["one", "two"]);
    fixture.observeGroup(false, 5);
    assert.deepEqual(getAllSent(fixture.request({ deadlineMs: 8022 })), []);
    const retry = fixture.request({ id: 2, deadlineMs: 5000 });
    assert.deepEqual(getAllSent(retry), []);
    const sent = getAllSent(fixture.observeGroup(true, 700));
    assert.deepEqual(sent.map(({ message }) => message.requestId), [1, 2]);
  });

  it("are known to be lost by the refusal of a target", () => {
    const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
    fixture.listRanks(["one", "two"]);
    const first = getSent(fixture.request({ deadlineMs: 8022 }));
    const effects = fixture.receive(
      first.target,
      createRefused(first.message, "GROUP_CLOSED"),
    );
    // The other target belongs to the same group, so the request is not sent there.
    assert.deepEqual(getAllSent(effects), []);
    const problem = tryGetProblem(fixture.tick(1940));
    assert.equal(problem?.reason, "GROUP_STALLED");
    assert.equal(problem?.submission, "not-run");
  });

  it("let a request wait again after a target refused it", () => {
    const fixture = new DirectFixture(["one", "two"], STREAM_LINES);
    fixture.listRanks(["one", "two"]);
    const first = getSent(fixture.request({ deadlineMs: 5000 }));
    const effects = fixture.receive(
      first.target,
      createRefused(first.message, "GROUP_CLOSED"),
    );
    assert.equal(tryGetProblem(effects), undefined);
    assert.notEqual(
      getSent(fixture.observeGroup(true, 700)).target,
      first.target,
    );
  });

  it("are matched to their group by the address of the current incarnation", () => {
    const fixture = new DirectFixture([], STREAM_LINES);
    const address = createSocketAddress("one:80");
    fixture.list([
      { ...createInstance("after"), address },
      { ...createInstance("before", { state: "leaving" }), address },
    ]);
    fixture.listRanks(["one"]);
    fixture.observeGroup(false, 5);
    assert.deepEqual(getAllSent(fixture.request({ deadlineMs: 8022 })), []);
    const problem = tryGetProblem(fixture.tick(1940));
    assert.equal(problem?.reason, "GROUP_STALLED");
  });

  it("are not treated as full because of an old load report", () => {
    const fixture = new DirectFixture(["one"], STREAM_LINES);
    fixture.reportLoad([createRow("one", { running: 8, queued: 9 })], {
      now: -2000,
    });
    assert.equal(getSent(fixture.request()).target, "one");
  });
});

describe("rank groups without a load report", () => {
  const lines: RouteLines = {
    service: [...STREAM_LINES.service ?? [], "pauseObjectiveMs: 120"],
  };

  /** Counts how many of the requests are sent immediately. */
  function countSent(fixture: DirectFixture, requests: number): number {
    const effects = Array.from(
      { length: requests },
      (_, index) => fixture.request({ id: index + 1 }),
    ).flat();
    return effects.filter(({ kind }) => kind === "send").length;
  }

  /** Creates an entry with one rank of concurrency 8, and three other entries. */
  function createFixture(): DirectFixture {
    const fixture = new DirectFixture(["one"], lines);
    fixture.listRanks(["one"]);
    fixture.entry.reduce({
      kind: "entries_listed",
      entries: ["entry-1", "entry-2", "entry-3", "entry-4"],
      now: 0,
    });
    return fixture;
  }

  it("are sent the entry's share, so that all entries together do not fill them", () => {
    assert.equal(countSent(createFixture(), 6), 3);
  });

  // After registrations expired, the list is incomplete until all are written again.
  it("are sent the same share while most entries are missing from the list", () => {
    const fixture = createFixture();
    const entries = ["entry-1"];
    fixture.entry.reduce({ kind: "entries_listed", entries, now: 0 });
    assert.equal(countSent(fixture, 6), 3);
  });

  it("are sent requests up to their capacity as soon as their loads are reported", () => {
    const fixture = createFixture();
    fixture.reportLoad([createRow("one")]);
    assert.equal(countSent(fixture, 6), 6);
  });

  it("are sent requests without deferral if no other entry is known", () => {
    const fixture = new DirectFixture(["one"], lines);
    fixture.listRanks(["one"]);
    assert.equal(countSent(fixture, 6), 6);
  });

  it("are limited to a share, but targets that belong to no group are not", () => {
    const fixture = new DirectFixture(["one"], lines);
    fixture.entry.reduce({
      kind: "entries_listed",
      entries: ["entry-1", "entry-2", "entry-3", "entry-4"],
      now: 0,
    });
    assert.equal(countSent(fixture, 6), 6);
  });
});
