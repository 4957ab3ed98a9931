/**
 * A new version of the configuration splits a route.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";
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
/** Longer than `converge_ms`, so that only the new version holds. */
const SETTLED_MS = 4000;

interface Run {
  readonly id: string;
  readonly path: string;
  readonly service: string;
}

async function startServer(
  service: string,
  instance: string,
  runs: Run[],
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
    const path = request.url ?? "";
    runs.push({ id, path, service });
    record.add(`${service} runs ${id} ${request.method} ${path}`);
    response.setHeader("x-response-stamp", `${instance}-${id}`);
    response.end(`${service} did ${path}`);
  });
  server.listen(port, HOST);
  await once(server, "listening");
  return port;
}

function call(port: number, path: string, id: string): Promise<string> {
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
        "authorization": `Bearer ${ACCESS_KEY}`,
      },
    }, (answer) => {
      let body = "";
      answer.on("data", (chunk) => body += chunk);
      answer.on("end", () => resolve(`${answer.statusCode} ${body}`));
      answer.on("error", () => resolve("broken off"));
    });
    request.on("error", (error) => resolve(String(error)));
    request.end("booking");
  });
}

/** The service that a configuration sends a path to, as the pages say. */
function findService(
  path: string,
  routes: readonly { readonly prefix: string; readonly service: string }[],
): string | undefined {
  return routes
    .filter(({ prefix }) => path.startsWith(prefix))
    .sort((one, other) => other.prefix.length - one.prefix.length)[0]?.service;
}

runCase(async (record) => {
  const { store, port: storePort } = await startStore();
  const runs: Run[] = [];
  for (const [service, id] of [[BOOKINGS, "i-1"], [REPORTS, "i-2"]] as const) {
    const port = await startServer(service, id, runs, record);
    registerServer(store, id, { service, port });
  }
  const common = {
    host: ROUTE_HOST,
    kind: "unsafe",
    timeout_ms: 1000,
    slo_ms: 100,
    max_attempts: 1,
    public: false,
  };
  const before = [
    { ...common, name: "r-1", prefix: "/puxa403/", service: BOOKINGS },
    { ...common, name: "r-2", prefix: "/lohu930/", service: REPORTS },
  ];
  const after = [
    ...before,
    { ...common, name: "r-3", prefix: "/puxa403/2f/", service: REPORTS },
  ];
  writeConfiguration(store, 7, before);
  const entry = await Entry.create(storePort);
  try {
    await entry.start();
    if (HAS_TROUBLE) {
      writeConfiguration(store, 12, after);
      record.add("the store accepts version 12, which splits /puxa403/");
    }
    await sleep(SETTLED_MS);
    const paths = [
      "/puxa403/2f",
      "/puxa403/30",
      "/puxa403/2f/1",
      "/lohu930/2f",
    ];
    for (const [index, path] of paths.entries()) {
      const id = `request-${index}`;
      record.add(`client sends ${id} POST ${path}`);
      record.add(`client got ${id}: ${await call(entry.callerPort, path, id)}`);
    }
    const versions = HAS_TROUBLE ? [before, after] : [before];
    let broken = 0;
    for (const { id, path, service } of runs) {
      const allowed = versions.map((routes) => findService(path, routes));
      if (allowed.includes(service)) continue;
      broken++;
      record.add(
        `${id} ${path} ran at ${service}; allowed: ${allowed} <- ROUTE`,
      );
    }
    return broken > 0;
  } finally {
    await entry.close();
  }
});
