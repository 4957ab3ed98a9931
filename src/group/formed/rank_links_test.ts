import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { EventLog } from "../../events/event_log.ts";
import { FormedEngineFixture } from "../../testing/formed_engine_fixture.ts";
import { findFreeAddress } from "../../testing/free_address.ts";
import type { SendOrder } from "./decider_types.ts";
import { RankLinks } from "./rank_links.ts";
import type {
  RankOrder,
  RankReportMessage,
} from "../../messages/formed_group_types.ts";
import { createSocketAddress } from "../../testing/socket_addresses.ts";

const RANKS = 3;
const RANK = 2;

class LinksFixture {
  readonly engine = new FormedEngineFixture(RANK, RANKS);
  readonly reports: RankReportMessage[] = [];
  readonly log = new EventLog({ role: "rank", processName: "test" });
  /** Called for each report. */
  onReport = (report: RankReportMessage): void => {
    this.reports.push(report);
  };
  readonly links = new RankLinks({
    identity: {
      deployment: "test",
      secret: "a secret of the tests",
      name: "rank",
      incarnation: "1",
      failureDomain: "a",
    },
    group: "group",
    log: this.log,
    createEngine: () => this.engine,
    onReport: (_member, report) => this.onReport(report),
  });

  /** Adds a rank whose sidecar has ended, so that its address refuses connections. */
  async start(): Promise<void> {
    const address = await findFreeAddress();
    const engineAddress = createSocketAddress("engine");
    this.links.setMembers([{ rank: RANK, address, engineAddress }]);
  }

  async send(order: RankOrder): Promise<void> {
    const effect: SendOrder = {
      kind: "send_order",
      rank: RANK,
      orderId: 1,
      order,
      isRepeated: false,
    };
    this.links.sendOrder(effect);
    // A direct order is sent and its effect read without a timer.
    await setImmediate();
  }
}

describe("orders to a rank whose sidecar is not connected", () => {
  it("go directly to its engine", async () => {
    const fixture = new LinksFixture();
    await fixture.start();
    await fixture.send({ kind: "hold", epoch: 1, pass: 3 });
    fixture.links.stop();
    assert.deepEqual(fixture.engine.receivedOrders.map(({ kind }) => kind), [
      "hold",
    ]);
    assert.equal(fixture.reports[0]?.isDone, true);
  });

  it("go directly to its engine even if they copy experts", async () => {
    const fixture = new LinksFixture();
    await fixture.start();
    const map = { layers: [{ experts: [[0], [1], [2]] }] };
    await fixture.send({ kind: "prepare", epoch: 1, version: 2, map });
    fixture.links.stop();
    assert.equal(fixture.reports[0]?.state.preparedVersion, 2);
  });

  // Guards against an engine that is logged as unreachable although it answered.
  it("log an exception in the handling of their effect as an internal fault", async () => {
    const fixture = new LinksFixture();
    fixture.onReport = () => {
      throw new TypeError("unexpected value");
    };
    await fixture.start();
    await fixture.send({ kind: "hold", epoch: 1, pass: 3 });
    fixture.links.stop();
    const { counts } = fixture.log;
    assert.equal(counts.get("INTERNAL_FAULT"), 1);
    assert.equal(counts.get("ENGINE_UNREACHABLE"), undefined);
  });
});
