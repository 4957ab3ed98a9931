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

/** One failure domain with an entry and a target. */
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
  let reachableDomain: Domain;
  let isolatedDomain: Domain;
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
    // Without the list of VMs, only the configured addresses are dialled, which include
    // relays.
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
    const isolatedSettings = {
      failureDomain: "b",
      keyValueAddress: platform.address,
    };
    const addressA = await findFreeAddress();
    const addressB = await findFreeAddress();
    await cluster.startTarget("confirm-a", await cluster.listen(serviceA), {
      address: addressA,
    });
    await cluster.startTarget("confirm-b", await cluster.listen(serviceB), {
      ...isolatedSettings,
      address: addressB,
    });
    const toB = await createRelay(addressB);
    const toA = await createRelay(addressA);
    reachableDomain = {
      entry: await startEntry("entry-a", { targets: [addressA, toB.address] }),
      service: serviceA,
      targetName: "confirm-a",
    };
    isolatedDomain = {
      entry: await startEntry("entry-b", {
        ...isolatedSettings,
        targets: [addressB, toA.address],
      }),
      service: serviceB,
      targetName: "confirm-b",
    };
    for (const { entry } of [reachableDomain, isolatedDomain]) {
      await cluster.waitForTargets(entry, ["confirm-a", "confirm-b"]);
    }
    await cluster.apply(
      reachableDomain.entry,
      "/organisations/a",
      "kind: organisation\n",
    );
    serviceRevision = await cluster.apply(
      reachableDomain.entry,
      "/organisations/a/services/confirm",
      SERVICE,
    );
    for (const { entry } of [reachableDomain, isolatedDomain]) {
      await cluster.waitForRevision(entry, serviceRevision);
    }
    await waitUntil("every key has an owner", async () => {
      const outcomes = await Promise.all(
        KEYS.map((key) =>
          call(isolatedDomain, { "idempotency-key": `warm-${key}` })
        ),
      );
      return outcomes.every((one) => one.status === 200);
    });
  });

  after(async () => {
    for (const relay of relays) relay.close();
    await cluster.close();
  });

  it("each serves the requests that its own targets can run", async () => {
    for (const relay of relays) relay.cut();
    await waitUntil("both sides notice", async () => {
      const statuses = await Promise.all(
        [reachableDomain, isolatedDomain].map(({ entry }) =>
          cluster.readStatus(entry)
        ),
      );
      return statuses.every((status) =>
        status.targets.filter((target) => target.kind === "answered")
          .length === 1
      );
    });
    for (const domain of [reachableDomain, isolatedDomain]) {
      assert.equal((await call(domain)).status, 200);
      const keyed = await Promise.all(
        KEYS.map((key) => call(domain, { "idempotency-key": key })),
      );
      const answered = keyed.filter((one) => one.status === 200).length;
      assert.ok(answered > 0, "Expected keys that the domain owns to run");
      for (const one of keyed) {
        if (one.status === 200) continue;
        assert.equal(one.reason, "NO_KEY_OWNER");
        assert.equal(one.outcome, "unknown");
      }
    }
    for (const key of KEYS) {
      const runs = reachableDomain.service.getRunCount(key) +
        isolatedDomain.service.getRunCount(key);
      assert.equal(runs, 1, `${key} ran ${runs} times`);
    }
  });

  it("accept changes on the side that reaches the platform", async () => {
    const revision = await cluster.apply(
      reachableDomain.entry,
      "/organisations/a",
      "kind: organisation\nweight: 5\n",
    );
    await assert.rejects(
      cluster.apply(
        isolatedDomain.entry,
        "/organisations/b",
        "kind: organisation\n",
      ),
      /unavailable/,
    );
    assert.equal(
      (await cluster.readStatus(isolatedDomain.entry)).revision,
      serviceRevision,
    );
    assert.ok(revision > serviceRevision);
  });

  it("receive newer settings and run no key twice after the connections are restored", async () => {
    for (const relay of relays) relay.restore();
    for (const { entry } of [reachableDomain, isolatedDomain]) {
      await cluster.waitForTargets(entry, ["confirm-a", "confirm-b"]);
      await cluster.waitForRevision(entry, serviceRevision + 1);
    }
    for (const key of KEYS) {
      const outcome = await call(isolatedDomain, { "idempotency-key": key });
      assert.equal(outcome.status, 200);
      const runs = reachableDomain.service.getRunCount(key) +
        isolatedDomain.service.getRunCount(key);
      assert.equal(runs, 1, `${key} ran ${runs} times`);
    }
  });

  it("answer by the deadline when connections are frozen", async () => {
    for (const relay of relays) relay.freeze();
    const outcomes = await Promise.all(
      KEYS.map((key) =>
        call(reachableDomain, {
          "idempotency-key": `frozen-${key}`,
          "lagoonwharf-deadline-ms": "300",
        })
      ),
    );
    const answered = outcomes.filter((one) => one.status === 200).length;
    const late = outcomes.filter((one) => one.status === 504).length;
    assert.ok(answered > 0, "Expected keys that the domain owns to run");
    assert.equal(answered + late, KEYS.length);
    for (const relay of relays) relay.restore();
  });
});
