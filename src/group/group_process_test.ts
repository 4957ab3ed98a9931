import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkFault } from "../messages/codec.ts";
import { RankGroupStandIn } from "../../standins/rank_group_stand_in.ts";
import {
  ProcessCluster,
  type RunningProcess,
  TEST_SECRET,
  waitForExit,
  waitUntil,
} from "../testing/process_cluster.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

const RANKS = 3;
const EVEN = [10, 10, 10, 10, 10, 10];
const HOT = [100, 10, 10, 10, 10, 10];

describe("a rank group whose members run as processes", () => {
  let cluster: ProcessCluster;
  let group: RankGroupStandIn;
  const addresses: string[] = [];
  const engineAddresses: string[] = [];
  const targets: RunningProcess[] = [];

  async function startRank(rank: number): Promise<RunningProcess> {
    return await cluster.startTarget(
      `rank-${rank}`,
      engineAddresses[rank] as string,
      {
        address: addresses[rank],
        ownsKeys: false,
        group: {
          name: "planner",
          coordinatorName: "rank-0",
          rank,
          engineAddress: engineAddresses[rank],
          memberAddresses: rank === 0 ? addresses : [],
          layers: 1,
          experts: EVEN.length,
          slotsPerRank: 3,
        },
      },
    );
  }

  async function waitForSteps(): Promise<void> {
    const targetSteps = group.steps + 20;
    await waitUntil("the group steps", () => group.steps >= targetSteps);
  }

  async function waitForMap(): Promise<void> {
    const previousCount = group.usedMapCount;
    await waitUntil(
      "a new map is in use",
      () => group.usedMapCount > previousCount,
    );
  }

  before(async () => {
    cluster = await ProcessCluster.create();
    group = new RankGroupStandIn({ ranks: RANKS, stepMs: 5, tokens: EVEN });
    for (let rank = 0; rank < RANKS; rank++) {
      addresses.push(await findFreeAddress());
      const address = await findFreeAddress();
      engineAddresses.push(address);
      await group.listen(rank, address);
    }
    group.start();
    for (let rank = 0; rank < RANKS; rank++) {
      targets.push(await startRank(rank));
    }
    const entry = await cluster.startEntry("entry-1", { targets: addresses });
    await cluster.waitForTargets(entry, ["rank-0", "rank-1", "rank-2"]);
    await cluster.apply(
      entry,
      "/groups/planner",
      "kind: group\npreset: skew\nintervalMs: 1000\n",
    );
  });

  after(async () => {
    group.close();
    await cluster.close();
  });

  it("starts stepping once every rank has the map", async () => {
    await waitForSteps();
    assert.equal(group.usedMapCount, 1);
  });

  it("switches the map between two steps when expert popularity changes", async () => {
    group.tokens = HOT;
    await waitForMap();
    await waitForSteps();
    assert.deepEqual(group.mixedMapSteps, []);
  });

  it("keeps stepping when the process at rank 0 is killed and restarted", async () => {
    const [first] = targets as [RunningProcess];
    first.child.kill("SIGKILL");
    await waitForExit(first.child);
    await waitForSteps();
    targets[0] = await startRank(0);
    group.tokens = EVEN.map((_, expert) => expert === 5 ? 200 : 10);
    await waitForMap();
    group.tokens = EVEN.map((_, expert) => expert < 3 ? 100 : 10);
    await waitForMap();
    await waitForSteps();
    assert.deepEqual(group.mixedMapSteps, []);
  });

  it("takes orders from rank 0's target only, secret or not", async () => {
    const faults: (LinkFault | undefined)[] = [];
    const answers: string[] = [];
    const unauthorized = new LinkClient({
      log: new EventLog({ role: "target", processName: "test" }),
      address: addresses[1] as SocketAddress,
      role: "target",
      identity: {
        deployment: "test",
        secret: TEST_SECRET,
        name: "rank-2",
        incarnation: "stranger",
        failureDomain: "a",
      },
      listener: {
        onConnected: (link) =>
          link.send({
            kind: "group_order",
            order: {
              kind: "bind",
              epoch: Number.MAX_SAFE_INTEGER,
              decider: "x",
            },
          }),
        onMessage: ({ kind }) => answers.push(kind),
        onDisconnected: (fault) => faults.push(fault),
        onDialFailed: () => undefined,
      },
    });
    await waitUntil("the client is rejected", () => faults.length > 0);
    unauthorized.stop();
    await waitForSteps();
    assert.deepEqual(answers, []);
    assert.match(targets[1]?.readLog() ?? "", /NOT_COORDINATOR/);
    assert.deepEqual(group.mixedMapSteps, []);
  });

  it("starts a new run when the engine of a rank is replaced", async () => {
    const before = group.getIncarnation(0);
    group.replaceEngine(2);
    await waitForSteps();
    assert.ok(group.getIncarnation(0) > before);
    assert.equal(group.getIncarnation(2), group.getIncarnation(0));
    assert.deepEqual(group.mixedMapSteps, []);
  });

  it("switches maps after a member's process was killed and restarted", async () => {
    const last = targets[2] as RunningProcess;
    last.child.kill("SIGKILL");
    await waitForExit(last.child);
    targets[2] = await startRank(2);
    group.tokens = EVEN.map((_, expert) => expert % 2 === 0 ? 150 : 10);
    await waitForMap();
    await waitForSteps();
    assert.deepEqual(group.mixedMapSteps, []);
  });
});
