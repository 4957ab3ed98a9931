/**
 * Demonstrates the whole request path with one entry, three targets, and stand-ins for
 * the platform and the back ends: `npm run demo`.
 *
 * @module
 */
import { existsSync } from "node:fs";
import process from "node:process";
import { request } from "undici";
import {
  ProcessCluster,
  type RunningProcess,
  waitUntil,
} from "../src/testing/process_cluster.ts";
import { ModelEngineStandIn } from "../standins/model_engine_stand_in.ts";
import { PlainServiceStandIn } from "../standins/plain_service_stand_in.ts";

const BINARY = "dist/lagoonwharf";
const SERVICES = "/organisations/andamaq/services";
const TARGETS = ["confirm-1", "confirm-2", "plan-1"] as const;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function sendRequest(
  entry: RunningProcess,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<string> {
  const response = await request(`http://${entry.address}${path}`, {
    method: "POST",
    headers,
    body: '{"max_tokens":3}',
  });
  const text = await response.body.text();
  const line = text.trim().replaceAll(/\s*\n+\s*/g, " | ");
  return `${response.statusCode} ${line}`;
}

async function startProcesses(cluster: ProcessCluster) {
  const entry = await cluster.startEntry("entry-1");
  const plainService = new PlainServiceStandIn("confirm");
  const plainAddress = await cluster.listen(plainService);
  const engine = new ModelEngineStandIn({
    name: "plan",
    stepMs: 5,
    defaultTokens: 3,
  });
  const targets = new Map<string, RunningProcess>();
  for (const name of TARGETS) {
    const address = name.startsWith("plan")
      ? await cluster.listen(engine)
      : plainAddress;
    targets.set(name, await cluster.startTarget(name, address));
  }
  await cluster.waitForTargets(entry, TARGETS);
  return { entry, plainService, targets };
}

async function applySettings(
  cluster: ProcessCluster,
  entry: RunningProcess,
): Promise<void> {
  await cluster.apply(entry, "/organisations/andamaq", "kind: organisation\n");
  let revision = 0;
  for (
    const [name, pool] of [["confirmations", "confirm"], ["plans", "plan"]]
  ) {
    revision = await cluster.apply(
      entry,
      `${SERVICES}/${name}`,
      `kind: service\npathPrefix: /andamaq/${name}\npool: ${pool}\n`,
    );
  }
  await cluster.waitForRevision(entry, revision);
  print(`settings: revision ${revision} is in force at every process`);
}

async function run(cluster: ProcessCluster): Promise<void> {
  const { entry, plainService, targets } = await startProcesses(cluster);
  print("started: entry-1 with targets confirm-1, confirm-2 and plan-1");
  await applySettings(cluster, entry);

  print(
    `plain request:   ${await sendRequest(entry, "/andamaq/confirmations/7")}`,
  );
  print(`stream:          ${await sendRequest(entry, "/andamaq/plans")}`);

  const key = { "idempotency-key": "order-7" };
  const isOwned = async () =>
    (await sendRequest(entry, "/andamaq/confirmations", key)).startsWith("200");
  await waitUntil("the key has an owner", isOwned);
  print(
    `same key again:  ${await sendRequest(
      entry,
      "/andamaq/confirmations",
      key,
    )}`,
  );
  print(
    `                 the service ran it ${
      plainService.getRunCount("order-7")
    } time`,
  );

  const revision = await cluster.apply(
    entry,
    `${SERVICES}/confirmations`,
    "kind: service\npathPrefix: /andamaq/slots\npool: confirm\n",
  );
  await cluster.waitForRevision(entry, revision);
  print(`changed a path:  revision ${revision} is in force at every process`);
  print(
    `  old path:      ${await sendRequest(entry, "/andamaq/confirmations")}`,
  );
  print(`  new path:      ${await sendRequest(entry, "/andamaq/slots")}`);

  targets.get("confirm-1")?.child.kill("SIGKILL");
  print("killed confirm-1; callers receive:");
  for (let number = 1; number <= 4; number++) {
    print(
      `  request ${number}:     ${await sendRequest(entry, "/andamaq/slots")}`,
    );
  }
}

if (existsSync(BINARY)) process.env["LAGOONWHARF_BINARY"] ??= BINARY;
const cluster = await ProcessCluster.create();
try {
  await run(cluster);
} finally {
  await cluster.close();
}
process.exit(0);
