import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { PlainServiceStandIn } from "../../standins/plain_service_stand_in.ts";
import {
  ProcessCluster,
  type RunningProcess,
  waitUntil,
} from "../testing/process_cluster.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import { TcpRelay } from "../testing/tcp_relay.ts";

const KEYS = Array.from({ length: 16 }, (_, index) => `key-${index}`);
const SERVICE = "kind: service\npathPrefix: /confirm\npool: confirm\n";

/** One failure domain: an entry, a target, and the ways into it. */
interface Domain {
  readonly entry: RunningProcess;
  readonly service: PlainServiceStandIn;
  readonly targetName: string;
}

interface Outcome {
  readonly status: number;
  readonly reason?: string;
  readonly outcome?: string;
}

async function call(
  domain: Domain,
  headers: Readonly<Record<string, string>> = {},
): Promise<Outcome> {
  const response = await request(`http://${domain.entry.address}/confirm`, {
    method: "POST",
    headers,
    body: "body",
  });
  const body = await response.body.json() as Omit<Outcome, "status">;
  return {
    status: response.statusCode,
    reason: body.reason,
    outcome: body.outcome,
  };
}

describe("failure domains cut off from each other and the platform", () => {
  let cluster: ProcessCluster;
  let here: Domain;
  let there: Domain;
  const relays: TcpRelay[] = [];
  let serviceRevision = 0;

  async function createRelay(target: string): Promise<TcpRelay> {
    const relay = await TcpRelay.create(target);
    relays.push(relay);
    return relay;
  }

  async function startEntry(
    name: string,
    changes: Readonly<Record<string, unknown>>,
  ): Promise<RunningProcess> {
    // Without the list only the named targets are dialled, by the named ways.
    return await cluster.startEntry(name, {
      ...changes,
      machineListAddress: undefined,
    });
  }

  before(async () => {
    cluster = await ProcessCluster.create();
    const platform = await createRelay(cluster.keyValueAddress);
    const services = ["a", "b"].map((name) => new PlainServiceStandIn(name));
    const [serviceA, serviceB] = services as [
      PlainServiceStandIn,
      PlainServiceStandIn,
    ];
    const farSettings = {
      failureDomain: "b",
      keyValueAddress: platform.address,
    };
    const addressA = await findFreeAddress();
    const addressB = await findFreeAddress();
    await cluster.startTarget("confirm-a", await cluster.listen(serviceA), {
      address: addressA,
    });
    await cluster.startTarget("confirm-b", await cluster.listen(serviceB), {
      ...farSettings,
      address: addressB,
    });
    const toB = await createRelay(addressB);
    const toA = await createRelay(addressA);
    here = {
      entry: await startEntry("entry-a", { targets: [addressA, toB.address] }),
      service: serviceA,
      targetName: "confirm-a",
    };
    there = {
      entry: await startEntry("entry-b", {
        ...farSettings,
        targets: [addressB, toA.address],
      }),
      service: serviceB,
      targetName: "confirm-b",
    };
    for (const { entry } of [here, there]) {
      await cluster.waitForTargets(entry, ["confirm-a", "confirm-b"]);
    }
    await cluster.apply(here.entry, "/organisations/a", "kind: organisation\n");
    serviceRevision = await cluster.apply(
      here.entry,
      "/organisations/a/services/confirm",
      SERVICE,
    );
    for (const { entry } of [here, there]) {
      await cluster.waitForRevision(entry, serviceRevision);
    }
    await waitUntil("every key has an owner", async () => {
      const outcomes = await Promise.all(
        KEYS.map((key) => call(there, { "idempotency-key": `warm-${key}` })),
      );
      return outcomes.every((one) => one.status === 200);
    });
  });

  after(async () => {
    for (const relay of relays) relay.close();
    await cluster.close();
  });

  it("each goes on serving what it can", async () => {
    for (const relay of relays) relay.cut();
    await waitUntil("both sides notice", async () => {
      const statuses = await Promise.all(
        [here, there].map(({ entry }) => cluster.readStatus(entry)),
      );
      return statuses.every((status) =>
        status.targets.filter((target) => target.kind === "answered")
          .length === 1
      );
    });
    for (const domain of [here, there]) {
      assert.equal((await call(domain)).status, 200);
      const keyed = await Promise.all(
        KEYS.map((key) => call(domain, { "idempotency-key": key })),
      );
      const answered = keyed.filter((one) => one.status === 200).length;
      assert.ok(answered > 0, "Keys of the own domain run");
      for (const one of keyed) {
        if (one.status === 200) continue;
        assert.equal(one.reason, "NO_KEY_OWNER");
        assert.equal(one.outcome, "unknown");
      }
    }
    for (const key of KEYS) {
      const runs = here.service.runsOf(key) + there.service.runsOf(key);
      assert.equal(runs, 1, `${key} ran ${runs} times`);
    }
  });

  it("takes changes on the side that reaches the platform", async () => {
    const revision = await cluster.apply(
      here.entry,
      "/organisations/a",
      "kind: organisation\nweight: 5\n",
    );
    await assert.rejects(
      cluster.apply(there.entry, "/organisations/b", "kind: organisation\n"),
      /unavailable/,
    );
    assert.equal(
      (await cluster.readStatus(there.entry)).revision,
      serviceRevision,
    );
    assert.ok(revision > serviceRevision);
  });

  it("rejoins cleanly: settings catch up, keys are not run again", async () => {
    for (const relay of relays) relay.join();
    for (const { entry } of [here, there]) {
      await cluster.waitForTargets(entry, ["confirm-a", "confirm-b"]);
      await cluster.waitForRevision(entry, serviceRevision + 1);
    }
    for (const key of KEYS) {
      const outcome = await call(there, { "idempotency-key": key });
      assert.equal(outcome.status, 200);
      const runs = here.service.runsOf(key) + there.service.runsOf(key);
      assert.equal(runs, 1, `${key} ran ${runs} times`);
    }
  });

  it("answers by the deadline when a connection is frozen", async () => {
    for (const relay of relays) relay.freeze();
    const outcomes = await Promise.all(
      KEYS.map((key) =>
        call(here, {
          "idempotency-key": `frozen-${key}`,
          "lagoonwharf-deadline-ms": "300",
        })
      ),
    );
    const answered = outcomes.filter((one) => one.status === 200).length;
    const late = outcomes.filter((one) => one.status === 504).length;
    assert.ok(answered > 0, "Keys of the own domain run");
    assert.equal(answered + late, KEYS.length);
    for (const relay of relays) relay.join();
  });
});
