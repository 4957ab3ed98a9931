import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FormedEngineFixture } from "../../testing/formed_engine_fixture.ts";
import { RankAgent } from "./rank_agent.ts";
import type {
  RankOrder,
  RankReportMessage,
} from "../../messages/formed_group_types.ts";

const RANKS = 3;
const EPOCH = 1;
const MAP = { layers: [{ experts: [[0], [1], [2]] }] };
const PREPARE = {
  kind: "prepare",
  epoch: EPOCH,
  version: 5,
  map: MAP,
} as const;
const ARM = { kind: "arm", epoch: EPOCH, version: 5, pass: 9 } as const;

class AgentFixture {
  readonly engine = new FormedEngineFixture(1, RANKS);
  readonly #agent = new RankAgent(this.engine);
  #nextId = 1;

  async execute(order: RankOrder): Promise<RankReportMessage | undefined> {
    const reports: RankReportMessage[] = [];
    await this.#agent.execute(
      { kind: "rank_order", orderId: this.#nextId++, order },
      (report) => reports.push(report),
    );
    return reports[0];
  }
}

describe("agent of a rank's engine", () => {
  it("fences with a map that leaves the rank's experts unchanged", async () => {
    const { engine, execute } = createFixture();
    await execute(PREPARE);
    const report = await execute({ kind: "fence", epoch: EPOCH, version: 8 });
    assert.equal(report?.isDone, true);
    assert.equal(report.state.preparedVersion, 8);
    const [, fence] = engine.receivedOrders;
    assert.ok(fence?.kind === "prepare");
    assert.deepEqual(fence.map.layers[0]?.experts, [[0], [1], [2]]);
  });

  it("cannot arm what was prepared before a fence", async () => {
    const { execute } = createFixture();
    await execute(PREPARE);
    await execute({ kind: "fence", epoch: EPOCH, version: 8 });
    const report = await execute(ARM);
    assert.equal(report?.isDone, false);
    assert.equal(report.state.armed, undefined);
  });

  /**
   * Guards against slow resends. Engines do not answer a tenth of their orders and
   * execute them seconds later; in a group of 63 ranks each switch waits for the last of
   * them.
   */
  it("resends an order after a single poll shows that it was not executed", async () => {
    const { engine, execute } = createFixture();
    await execute(PREPARE);
    engine.unansweredOrders = 2;
    engine.stateReads = 0;
    const report = await execute(ARM);
    assert.equal(report?.isDone, true);
    assert.equal(
      engine.receivedOrders.filter(({ kind }) => kind === "arm").length,
      3,
    );
    assert.equal(engine.stateReads, 3);
  });

  it("cannot fence an engine that is armed", async () => {
    const { execute } = createFixture();
    await execute(PREPARE);
    await execute(ARM);
    const report = await execute({ kind: "fence", epoch: EPOCH, version: 8 });
    assert.equal(report?.isDone, false);
    assert.equal(report.state.armed?.version, PREPARE.version);
  });
});

function createFixture() {
  const fixture = new AgentFixture();
  return {
    engine: fixture.engine,
    execute: (order: RankOrder) => fixture.execute(order),
  };
}
