/**
 * Answers that end with their connection, while the entry that relays them is
 * killed.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, get } from "node:http";
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

const PIECES = 30;
const PIECE_INTERVAL_MS = 100;
const DEADLINE_MS = 8000;
/** When the entry is killed, after the first request. */
const KILL_AFTER_MS = 1500;
const SERVICE = "huvo11a";

/** What a client saw of one answer. */
interface Seen {
  readonly id: string;
  readonly status: number;
  readonly body: string;
  /** Whether the answer ended in order, by what HTTP says of an answer without length. */
  readonly looksComplete: boolean;
  readonly isSigned: boolean;
}

function createPiece(id: string, number: number, isStream: boolean): string {
  return isStream
    ? `id: ${number}\ndata: ${id} ${number}\n\n`
    : `row ${number} of ${id}\n`;
}

function createBody(id: string, isStream: boolean): string {
  return Array.from(
    { length: PIECES },
    (_, index) => createPiece(id, index + 1, isStream),
  ).join("");
}

/** A sound server whose answers have neither a length nor chunks. */
function createModelServer(instance: string, record: RunRecord) {
  return createServer((request, response) => {
    const id = String(request.headers["x-request-id"]);
    request.resume();
    if (request.headers["x-expect-instance"] !== instance) {
      response.writeHead(421, { "x-request-id": id }).end();
      return;
    }
    const isStream = request.url?.startsWith("/lohu930/") === true;
    record.add(`server runs ${id} ${request.url}`);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      "x-request-id": id,
      "x-response-stamp": `stamp-of-${id}`,
      "content-type": isStream ? "text/event-stream" : "text/plain",
    });
    let sent = 0;
    const timer = setInterval(() => {
      response.write(createPiece(id, ++sent, isStream));
      if (sent < PIECES) return;
      clearInterval(timer);
      response.end();
      record.add(`server ends ${id}, whole`);
    }, PIECE_INTERVAL_MS);
    response.on("close", () => {
      clearInterval(timer);
      if (sent < PIECES) record.add(`server's caller left ${id} at ${sent}`);
    });
  });
}

function call(port: number, path: string, id: string): Promise<Seen> {
  return new Promise((resolve) => {
    const options = {
      host: HOST,
      port,
      path,
      agent: false,
      headers: {
        "host": ROUTE_HOST,
        "x-request-id": id,
        "x-deadline-ms": String(DEADLINE_MS),
        "authorization": `Bearer ${ACCESS_KEY}`,
      },
    };
    let body = "";
    let status = 0;
    let isSigned = false;
    const finish = (looksComplete: boolean) =>
      resolve({ id, status, body, looksComplete, isSigned });
    const request = get(options, (answer) => {
      status = answer.statusCode ?? 0;
      isSigned = answer.headers["x-response-stamp"] === `stamp-of-${id}`;
      answer.on("data", (chunk) => body += chunk);
      answer.on("end", () => finish(answer.complete));
      answer.on("error", () => finish(false));
    });
    request.on("error", () => finish(false));
    // Node.js may take a reset that arrives with unread bytes for an orderly end. A write
    // of no bytes fails on a connection that was reset.
    request.on("socket", (socket) => {
      socket.prependListener("end", () => {
        socket.write("");
        if (socket.errored !== null) finish(false);
      });
    });
  });
}

runCase(async (record) => {
  const { store, port: storePort } = await startStore();
  const serverPort = await takePort();
  const server = createModelServer("i-7f3a91c2", record);
  server.listen(serverPort, HOST);
  await once(server, "listening");
  registerServer(store, "i-7f3a91c2", { service: SERVICE, port: serverPort });
  const shared = { host: ROUTE_HOST, service: SERVICE, public: false };
  writeConfiguration(store, 1, [{
    ...shared,
    name: "r-stream",
    prefix: "/lohu930/",
    kind: "stream",
    timeout_ms: DEADLINE_MS,
    slo_ms: 401,
    gap_aim_ms: 150,
    max_attempts: 1,
  }, {
    ...shared,
    name: "r-safe",
    prefix: "/puxa403/",
    kind: "safe",
    timeout_ms: DEADLINE_MS,
    slo_ms: 401,
    max_attempts: 2,
  }]);
  const entry = await Entry.create(storePort);
  try {
    await entry.start();
    const paths = ["/lohu930/2f", "/lohu930/30", "/puxa403/2f", "/puxa403/30"];
    const calls = paths.map((path, index) => {
      record.add(`client sends request-${index} ${path}`);
      return call(entry.callerPort, path, `request-${index}`);
    });
    await sleep(KILL_AFTER_MS);
    if (HAS_TROUBLE) {
      record.add("SIGKILL to the entry");
      entry.child.kill("SIGKILL");
    }
    const answers = await Promise.all(calls);
    let broken = 0;
    for (const [index, seen] of answers.entries()) {
      const isStream = paths[index]?.startsWith("/lohu930/") === true;
      const isWhole = seen.body === createBody(seen.id, isStream);
      const isFalse = seen.status === 200 && seen.isSigned &&
        seen.looksComplete && !isWhole;
      if (isFalse) broken++;
      record.add(
        `client got ${seen.id}: status ${seen.status}, ` +
          `${seen.isSigned ? "signed" : "not signed"}, ` +
          `${seen.looksComplete ? "complete" : "broken off"} for the client, ` +
          `body ${isWhole ? "whole" : `cut at ${seen.body.length} bytes`}` +
          (isFalse ? " <- MIXED" : ""),
      );
    }
    return broken > 0;
  } finally {
    await entry.close();
  }
});
