/**
 * Bench of the whole path with real processes: requests a second and latency
 * through entry and target over those of the same back end called directly by
 * the same client, and processor time of each role. Printed, not judged.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";
import {
  ProcessCluster,
  type RunningProcess,
  waitUntil,
} from "../src/testing/process_cluster.ts";
import { ModelEngineStandIn } from "../standins/model_engine_stand_in.ts";
import { PlainServiceStandIn } from "../standins/plain_service_stand_in.ts";

/** Figures of one way to the back end. */
export interface PathResult {
  readonly way: string;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Processor time of one role. */
export interface RoleResult {
  readonly role: string;
  readonly perRequestUs: number;
  readonly perTokenUs: number;
  readonly residentMb: number;
}

/** Everything that one run shows. */
export interface PathBenchResult {
  readonly ways: readonly PathResult[];
  readonly roles: readonly RoleResult[];
}

const REQUESTS = 6000;
const WARM_UP_REQUESTS = 1500;
const CLIENTS = 16;
const STREAMS = 40;
const TOKENS = 400;
const STEP_MS = 5;
/** The kernel counts processor time in hundredths of a second. */
const TICK_US = 10_000;
const PAGE_MB = 4096 / 1024 / 1024;

/** Runs the whole path once. */
export async function runPathBench(): Promise<PathBenchResult> {
  const cluster = await ProcessCluster.create();
  try {
    return await runInCluster(cluster);
  } finally {
    await cluster.close();
  }
}

async function runInCluster(
  cluster: ProcessCluster,
): Promise<PathBenchResult> {
  const entry = await cluster.startEntry("entry-1");
  const plain = new PlainServiceStandIn("confirm");
  const plainAddress = await cluster.listen(plain);
  const engine = new ModelEngineStandIn({
    name: "plan",
    stepMs: STEP_MS,
    defaultTokens: TOKENS,
  });
  const confirm = await cluster.startTarget("confirm-1", plainAddress, {
    concurrency: CLIENTS,
  });
  const plan = await cluster.startTarget(
    "plan-1",
    await cluster.listen(engine),
    {
      concurrency: STREAMS,
      ownsKeys: false,
    },
  );
  await cluster.waitForTargets(entry, ["confirm-1", "plan-1"]);
  await applyServices(cluster, entry);
  const direct = await measureWay("direct", plainAddress);
  const entryBefore = cpuOf(entry);
  const targetBefore = cpuOf(confirm);
  const through = await measureWay("through entry and target", entry.address);
  const counted = REQUESTS + WARM_UP_REQUESTS;
  const entryRequest = (cpuOf(entry) - entryBefore) / counted;
  const targetRequest = (cpuOf(confirm) - targetBefore) / counted;
  const entryStreams = cpuOf(entry);
  const targetStreams = cpuOf(plan);
  await runStreams(entry);
  const tokens = STREAMS * TOKENS;
  return {
    ways: [direct, through],
    roles: [
      {
        role: "entry",
        perRequestUs: entryRequest,
        perTokenUs: (cpuOf(entry) - entryStreams) / tokens,
        residentMb: residentOf(entry),
      },
      {
        role: "target",
        perRequestUs: targetRequest,
        perTokenUs: (cpuOf(plan) - targetStreams) / tokens,
        residentMb: residentOf(confirm),
      },
    ],
  };
}

async function applyServices(
  cluster: ProcessCluster,
  entry: RunningProcess,
): Promise<void> {
  await cluster.apply(
    entry,
    "/organisations/a",
    "kind: organisation\nrequestsPerSecond: 1000000\nburst: 1000000\n",
  );
  let revision = 0;
  for (const name of ["confirm", "plan"]) {
    revision = await cluster.apply(
      entry,
      `/organisations/a/services/${name}`,
      `kind: service\npathPrefix: /${name}\npool: ${name}\n`,
    );
  }
  await waitUntil(
    "the settings are in force",
    async () => (await cluster.readStatus(entry)).revision === revision,
  );
}

async function measureWay(way: string, address: string): Promise<PathResult> {
  const pool = new Pool(`http://${address}`, { connections: CLIENTS });
  await runRequests(pool, WARM_UP_REQUESTS, () => undefined);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const startedAt = performance.now();
  await runRequests(pool, REQUESTS, (milliseconds) => {
    histogram.recordValue(Math.round(milliseconds * 1000));
  });
  const seconds = (performance.now() - startedAt) / 1000;
  await pool.close();
  return {
    way,
    requestsPerSecond: REQUESTS / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
  };
}

async function runRequests(
  pool: Pool,
  count: number,
  record: (milliseconds: number) => void,
): Promise<void> {
  let left = count;
  async function runClient(): Promise<void> {
    while (left-- > 0) {
      const startedAt = performance.now();
      const response = await pool.request({
        method: "POST",
        path: "/confirm",
        body: "one confirmation",
      });
      await response.body.dump();
      if (response.statusCode !== 200) {
        throw new Error(`Status ${response.statusCode}`);
      }
      record(performance.now() - startedAt);
    }
  }
  await Promise.all(Array.from({ length: CLIENTS }, runClient));
}

async function runStreams(entry: RunningProcess): Promise<void> {
  const pool = new Pool(`http://${entry.address}`, { connections: STREAMS });
  await Promise.all(Array.from({ length: STREAMS }, async () => {
    const response = await pool.request({
      method: "POST",
      path: "/plan",
      body: JSON.stringify({ max_tokens: TOKENS }),
    });
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
  }));
  await pool.close();
}

/** Processor time of a process so far, in microseconds. */
function cpuOf(running: RunningProcess): number {
  const fields = readStat(running, "stat").replace(/^.*\) /, "").split(" ");
  return (Number(fields[11]) + Number(fields[12])) * TICK_US;
}

function residentOf(running: RunningProcess): number {
  return Number(readStat(running, "statm").split(" ")[1]) * PAGE_MB;
}

function readStat(running: RunningProcess, name: string): string {
  return readFileSync(`/proc/${running.child.pid}/${name}`, "utf8");
}
