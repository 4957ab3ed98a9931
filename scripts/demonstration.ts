/**
 * Shows the whole path with everything embedded: stand-ins of the platform and
 * of back ends, one entry, three targets. `npm run demo`.
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

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function call(
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

async function startAll(cluster: ProcessCluster) {
  const entry = await cluster.startEntry("entry-1");
  const plain = new PlainServiceStandIn("confirm");
  const plainAddress = await cluster.listen(plain);
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
  return { entry, plain, targets };
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
  say(`settings: revision ${revision} is in force at every process`);
}

async function run(cluster: ProcessCluster): Promise<void> {
  const { entry, plain, targets } = await startAll(cluster);
  say("started: entry-1 before confirm-1, confirm-2 and plan-1");
  await applySettings(cluster, entry);

  say(`plain request:   ${await call(entry, "/andamaq/confirmations/7")}`);
  say(`stream:          ${await call(entry, "/andamaq/plans")}`);

  const key = { "idempotency-key": "order-7" };
  const isOwned = async () =>
    (await call(entry, "/andamaq/confirmations", key)).startsWith("200");
  await waitUntil("the key has an owner", isOwned);
  say(`same key again:  ${await call(entry, "/andamaq/confirmations", key)}`);
  say(`                 the service ran it ${plain.runsOf("order-7")} time`);

  const revision = await cluster.apply(
    entry,
    `${SERVICES}/confirmations`,
    "kind: service\npathPrefix: /andamaq/slots\npool: confirm\n",
  );
  await cluster.waitForRevision(entry, revision);
  say(`moved a setting: revision ${revision} is in force at every process`);
  say(`  old path:      ${await call(entry, "/andamaq/confirmations")}`);
  say(`  new path:      ${await call(entry, "/andamaq/slots")}`);

  targets.get("confirm-1")?.child.kill("SIGKILL");
  say("killed confirm-1; callers see:");
  for (let number = 1; number <= 4; number++) {
    say(`  request ${number}:     ${await call(entry, "/andamaq/slots")}`);
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
