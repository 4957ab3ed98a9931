/**
 * Benchmark of the whole request path with real processes. Compares requests per second
 * and latency through entry and target with those of direct calls to the same back end
 * by the same client, and measures the processor time of each role. The results are
 * printed and not checked against bounds.
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

/** Results of one way to call the back end: directly, or through entry and target. */
export interface PathResult {
  readonly way: string;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Processor time and memory of one role. */
export interface RoleResult {
  readonly role: string;
  readonly perRequestUs: number;
  readonly perTokenUs: number;
  readonly residentMb: number;
}

/** Results of one run. */
export interface PathBenchResult {
  readonly ways: readonly PathResult[];
  readonly roles: readonly RoleResult[];
}

const REQUEST_COUNT = 6000;
const WARM_UP_REQUEST_COUNT = 1500;
const CLIENT_COUNT = 16;
const STREAM_COUNT = 40;
const TOKENS_PER_STREAM = 400;
const STEP_MS = 5;
/** The kernel counts processor time in ticks of a hundredth of a second. */
const CLOCK_TICK_US = 10_000;
const PAGE_MB = 4096 / 1024 / 1024;

/** Measures the whole request path once. */
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
  const plainService = new PlainServiceStandIn("confirm");
  const plainAddress = await cluster.listen(plainService);
  const engine = new ModelEngineStandIn({
    name: "plan",
    stepMs: STEP_MS,
    defaultTokens: TOKENS_PER_STREAM,
  });
  const confirmTarget = await cluster.startTarget("confirm-1", plainAddress, {
    concurrency: CLIENT_COUNT,
  });
  const planTarget = await cluster.startTarget(
    "plan-1",
    await cluster.listen(engine),
    {
      concurrency: STREAM_COUNT,
      ownsKeys: false,
    },
  );
  await cluster.waitForTargets(entry, ["confirm-1", "plan-1"]);
  await applyServices(cluster, entry);
  const direct = await measureWay("direct", plainAddress);
  const entryUsBeforeRequests = readProcessorUs(entry);
  const targetUsBeforeRequests = readProcessorUs(confirmTarget);
  const throughEntry = await measureWay(
    "through entry and target",
    entry.address,
  );
  const requestCount = REQUEST_COUNT + WARM_UP_REQUEST_COUNT;
  const entryUsPerRequest = (readProcessorUs(entry) - entryUsBeforeRequests) /
    requestCount;
  const targetUsPerRequest =
    (readProcessorUs(confirmTarget) - targetUsBeforeRequests) / requestCount;
  const entryUsBeforeStreams = readProcessorUs(entry);
  const targetUsBeforeStreams = readProcessorUs(planTarget);
  await runStreams(entry);
  const tokenCount = STREAM_COUNT * TOKENS_PER_STREAM;
  return {
    ways: [direct, throughEntry],
    roles: [
      {
        role: "entry",
        perRequestUs: entryUsPerRequest,
        perTokenUs: (readProcessorUs(entry) - entryUsBeforeStreams) /
          tokenCount,
        residentMb: readResidentMb(entry),
      },
      {
        role: "target",
        perRequestUs: targetUsPerRequest,
        perTokenUs: (readProcessorUs(planTarget) - targetUsBeforeStreams) /
          tokenCount,
        residentMb: readResidentMb(confirmTarget),
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
  const pool = new Pool(`http://${address}`, { connections: CLIENT_COUNT });
  await runRequests(pool, WARM_UP_REQUEST_COUNT, () => undefined);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const startedAt = performance.now();
  await runRequests(pool, REQUEST_COUNT, (milliseconds) => {
    histogram.recordValue(Math.round(milliseconds * 1000));
  });
  const seconds = (performance.now() - startedAt) / 1000;
  await pool.close();
  return {
    way,
    requestsPerSecond: REQUEST_COUNT / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
  };
}

async function runRequests(
  pool: Pool,
  count: number,
  recordLatency: (milliseconds: number) => void,
): Promise<void> {
  let remaining = count;
  async function runClient(): Promise<void> {
    while (remaining-- > 0) {
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
      recordLatency(performance.now() - startedAt);
    }
  }
  await Promise.all(Array.from({ length: CLIENT_COUNT }, runClient));
}

async function runStreams(entry: RunningProcess): Promise<void> {
  const pool = new Pool(`http://${entry.address}`, {
    connections: STREAM_COUNT,
  });
  await Promise.all(Array.from({ length: STREAM_COUNT }, async () => {
    const response = await pool.request({
      method: "POST",
      path: "/plan",
      body: JSON.stringify({ max_tokens: TOKENS_PER_STREAM }),
    });
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
  }));
  await pool.close();
}

/** Returns the processor time that a process has used so far, in microseconds. */
function readProcessorUs(running: RunningProcess): number {
  const fields = readProcFile(running, "stat").replace(/^.*\) /, "").split(
    " ",
  );
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_US;
}

function readResidentMb(running: RunningProcess): number {
  return Number(readProcFile(running, "statm").split(" ")[1]) * PAGE_MB;
}

function readProcFile(running: RunningProcess, name: string): string {
  return readFileSync(`/proc/${running.child.pid}/${name}`, "utf8");
}
