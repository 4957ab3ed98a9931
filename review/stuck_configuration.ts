/**
 * A new version of the configuration adds a route that may be tried at twelve servers;
 * later versions change other things. `VARIANT` puts another value in place of that one:
 * `weight` (a share of 0 at one of two services), `body` (bodies of up to 16 MiB).
 *
 * @module
 */
import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ACCESS_KEY,
  Entry,
  HAS_TROUBLE,
  HOST,
  registerServer,
  ROUTE_HOST,
  runCase,
  type RunRecord,
  startStore,
  takePort,
  writeConfiguration,
} from "./small_deployment.ts";

const BOOKINGS = "huvo11a";
const REPORTS = "wuno96b";
const REPORT_SERVERS = 12;
/** A key that the last version takes away. */
const OTHER_KEY = "q8w1zzf0k3m2x7tn4hbd";
/** Longer than `converge_ms` (2 s), and than `contact_ms` (3 s). */
const SETTLED_MS = 4000;
/** How long a restarted entry is waited for; a usual start takes under a second. */
const RESTART_LIMIT_MS = 10_000;

async function startServer(
  service: string,
  instance: string,
  runs: Map<string, string>,
  record: RunRecord,
): Promise<number> {
  const port = await takePort();
  const server = createServer((request, response) => {
    const id = String(request.headers["x-request-id"]);
    request.resume();
    response.setHeader("x-request-id", id);
    if (request.headers["x-expect-instance"] !== instance) {
      response.writeHead(421).end();
      return;
    }
    runs.set(id, service);
    record.add(`${service} runs ${id} ${request.method} ${request.url}`);
    response.setHeader("x-response-stamp", `${instance}-${id}`);
    response.end(`${service} did it`);
  });
  server.listen(port, HOST);
  await once(server, "listening");
  return port;
}

/** The row that the new version adds, and its limits. */
function createChange(common: Readonly<Record<string, unknown>>) {
  const variant = process.env.VARIANT ?? "attempts";
  const has = (name: string) => HAS_TROUBLE && variant === name;
  const weight = has("weight") ? 0 : 1;
  const target = variant === "weight"
    ? {
      backends: [
        { service: BOOKINGS, weight },
        { service: REPORTS, weight: 100 },
      ],
    }
    : { service: REPORTS };
  const max_attempts = has("attempts") ? REPORT_SERVERS : 2;
  const limits: Record<string, number> = has("body")
    ? { max_body_bytes: 16_777_216 }
    : {};
  return {
    row: {
      ...common,
      ...target,
      name: "r-3",
      prefix: "/lohu930/",
      kind: "safe",
      max_attempts,
    },
    limits,
  };
}

interface Call {
  readonly id: string;
  readonly path: string;
  readonly key: string;
}

function call(port: number, { id, path, key }: Call): Promise<number> {
  return new Promise((resolve) => {
    const request = sendRequest({
      host: HOST,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        "host": ROUTE_HOST,
        "x-request-id": id,
        "x-deadline-ms": "1009",
        "authorization": `Bearer ${key}`,
      },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve(answer.statusCode ?? 0));
      answer.on("error", () => resolve(0));
    });
    request.on("error", () => resolve(0));
    request.end("booking");
  });
}

runCase(async (record) => {
  const { store, port: storePort } = await startStore();
  const runs = new Map<string, string>();
  const bookings = await startServer(BOOKINGS, "i-0", runs, record);
  registerServer(store, "i-0", { service: BOOKINGS, port: bookings });
  for (let index = 1; index <= REPORT_SERVERS; index++) {
    const id = `i-${index}`;
    const port = await startServer(REPORTS, id, runs, record);
    registerServer(store, id, { service: REPORTS, port });
  }
  const common = {
    host: ROUTE_HOST,
    timeout_ms: 1000,
    slo_ms: 100,
    public: false,
  };
  const booking = {
    ...common,
    name: "r-1",
    prefix: "/puxa403/",
    kind: "unsafe",
    max_attempts: 1,
  };
  const { row: added, limits } = createChange(common);
  const keys = [ACCESS_KEY, OTHER_KEY];
  const atBookings = { ...booking, service: BOOKINGS };
  writeConfiguration(store, 7, [atBookings], keys);
  const entry = await Entry.create(storePort);
  try {
    await entry.start();
    await sleep(SETTLED_MS);
    writeConfiguration(store, 12, [atBookings, added], keys, limits);
    const row = JSON.stringify({ ...added, ...limits });
    record.add(`version 12 adds ${row}`);
    await sleep(SETTLED_MS);
    const atReports = { ...booking, service: REPORTS };
    writeConfiguration(store, 17, [atReports, added], [ACCESS_KEY], limits);
    record.add(`version 17 moves /puxa403/ to ${REPORTS}, removes a key`);
    await sleep(SETTLED_MS);
    const { callerPort } = entry;
    const findings: string[] = [];
    const isNew = { id: "request-new", path: "/lohu930/2f", key: ACCESS_KEY };
    const isMoved = {
      id: "request-moved",
      path: "/puxa403/2f",
      key: ACCESS_KEY,
    };
    const isRevoked = {
      id: "request-key",
      path: "/puxa403/2f",
      key: OTHER_KEY,
    };
    for (const one of [isNew, isMoved, isRevoked]) {
      const status = await call(callerPort, one);
      const ranAt = runs.get(one.id);
      record.add(`client got ${one.id}: ${status}; ran at ${ranAt ?? "none"}`);
      if (one === isNew && status === 404) {
        findings.push("404 though the route is there");
      }
      if (one === isMoved && ranAt === BOOKINGS) {
        findings.push("run by the old service");
      }
      if (one === isRevoked && ranAt !== undefined) {
        findings.push("run with a dropped key");
      }
    }
    for (const finding of findings) record.add(`${finding} <- CONFIG`);
    // Not judged: how the next start of the process goes.
    const restarted = await entry.restart(RESTART_LIMIT_MS);
    record.add(
      restarted
        ? "started again, the entry is ready"
        : `started again, the entry is not ready after ${RESTART_LIMIT_MS} ms`,
    );
    return findings.length > 0;
  } finally {
    await entry.close();
  }
});
