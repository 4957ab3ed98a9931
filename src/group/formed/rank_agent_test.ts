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

  async carryOut(order: RankOrder): Promise<RankReportMessage | undefined> {
    const reports: RankReportMessage[] = [];
    await this.#agent.carryOut(
      { kind: "rank_order", orderId: this.#nextId++, order },
      (report) => reports.push(report),
    );
    return reports[0];
  }
}

describe("the process beside a rank's engine", () => {
  it("fences by a map that leaves the rank's experts as they are", async () => {
    const { engine, carryOut } = createFixture();
    await carryOut(PREPARE);
    const report = await carryOut({ kind: "fence", epoch: EPOCH, version: 8 });
    assert.equal(report?.isDone, true);
    assert.equal(report.state.preparedVersion, 8);
    const [, fence] = engine.given;
    assert.ok(fence?.kind === "prepare");
    assert.deepEqual(fence.map.layers[0]?.experts, [[0], [1], [2]]);
  });

  it("cannot arm what was prepared before a fence", async () => {
    const { carryOut } = createFixture();
    await carryOut(PREPARE);
    await carryOut({ kind: "fence", epoch: EPOCH, version: 8 });
    const report = await carryOut(ARM);
    assert.equal(report?.isDone, false);
    assert.equal(report.state.armed, undefined);
  });

  /**
   * The pattern: engines leave a tenth of their orders without an answer and carry them
   * out seconds later. A group of 63 ranks waits for the last of them with each switch.
   */
  it("gives an order again after one look that shows that it was not taken", async () => {
    const { engine, carryOut } = createFixture();
    await carryOut(PREPARE);
    engine.unanswered = 2;
    engine.looks = 0;
    const report = await carryOut(ARM);
    assert.equal(report?.isDone, true);
    assert.equal(engine.given.filter(({ kind }) => kind === "arm").length, 3);
    assert.equal(engine.looks, 3);
  });

  it("cannot fence an engine that is armed", async () => {
    const { carryOut } = createFixture();
    await carryOut(PREPARE);
    await carryOut(ARM);
    const report = await carryOut({ kind: "fence", epoch: EPOCH, version: 8 });
    assert.equal(report?.isDone, false);
    assert.equal(report.state.armed?.version, PREPARE.version);
  });
});

function createFixture() {
  const fixture = new AgentFixture();
  return {
    engine: fixture.engine,
    carryOut: (order: RankOrder) => fixture.carryOut(order),
  };
}
