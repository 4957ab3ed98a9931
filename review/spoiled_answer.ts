/**
 * One of three servers spoils one byte of one answer.
 *
 * @module
 */
import { once } from "node:events";
import { Agent, createServer, get } from "node:http";
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

const SERVICE = "xano55b";
const SERVERS = 3;
/**
 * The server that is the first to make so many answers spoils that one, and no other
 * answer is spoiled.
 */
const SPOILED_ANSWER = 50;
const REQUEST_INTERVAL_MS = 20;
const REQUESTS = 900;
const WORK_MS = 15;
/** Longer than `contact_ms` after the start of the entry. */
const SETTLED_MS = 4000;
const TIMEOUT_MS = 1000;
const DEADLINE_MS = 8000;
/** The rule gives an answer half a second beyond the route's timeout. */
const GRACE_MS = 500;
/** Number and share of the requests that the rule lets pass. */
const ALLOWED_COUNT = 7;
const ALLOWED_SHARE = 0.5;

interface Answered {
  readonly id: string;
  readonly sentAt: number;
  readonly tookMs: number;
  readonly status: number;
}

let hasSpoiled = false;

async function startServer(
  index: number,
  record: RunRecord,
): Promise<number> {
  const port = await takePort();
  let answers = 0;
  const server = createServer((request, response) => {
    const id = String(request.headers["x-request-id"]);
    request.resume();
    response.setHeader("x-request-id", id);
    if (request.headers["x-expect-instance"] !== `i-${index}`) {
      response.writeHead(421).end();
      return;
    }
    setTimeout(() => {
      answers++;
      if (HAS_TROUBLE && !hasSpoiled && answers === SPOILED_ANSWER) {
        hasSpoiled = true;
        record.add(`server ${index} spoils its answer ${answers}, of ${id}`);
        response.socket?.write(
          `HTTP/1.1 000 OK\r\nX-Request-Id: ${id}\r\n` +
            `X-Response-Stamp: stamp-of-${id}\r\nContent-Length: 2\r\n\r\nok`,
        );
        return;
      }
      response.setHeader("x-response-stamp", `stamp-of-${id}`);
      response.end("ok");
    }, WORK_MS);
  });
  server.listen(port, HOST);
  await once(server, "listening");
  return port;
}

function call(agent: Agent, port: number, id: string): Promise<Answered> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number) =>
      resolve({ id, sentAt, tookMs: performance.now() - sentAt, status });
    const request = get({
      host: HOST,
      port,
      agent,
      path: "/cuti104/2f",
      headers: {
        "host": ROUTE_HOST,
        "x-request-id": id,
        "x-deadline-ms": String(DEADLINE_MS),
        "authorization": `Bearer ${ACCESS_KEY}`,
      },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => finish(answer.statusCode ?? 0));
      answer.on("error", () => finish(0));
    });
    request.setTimeout(DEADLINE_MS, () => request.destroy());
    request.on("error", () => finish(0));
  });
}

runCase(async (record) => {
  const { store, port: storePort } = await startStore();
  for (let index = 0; index < SERVERS; index++) {
    const port = await startServer(index, record);
    registerServer(store, `i-${index}`, { service: SERVICE, port });
  }
  writeConfiguration(store, 1, [{
    name: "r-1",
    host: ROUTE_HOST,
    prefix: "/cuti104/",
    kind: "safe",
    timeout_ms: TIMEOUT_MS,
    slo_ms: 100,
    service: SERVICE,
    max_attempts: 2,
    public: false,
  }]);
  const entry = await Entry.create(storePort);
  const agent = new Agent({ keepAlive: true });
  try {
    await entry.start();
    await sleep(SETTLED_MS);
    record.add(`clients send a request each ${REQUEST_INTERVAL_MS} ms`);
    const calls: Promise<Answered>[] = [];
    for (let number = 0; number < REQUESTS; number++) {
      calls.push(call(agent, entry.callerPort, `request-${number}`));
      await sleep(REQUEST_INTERVAL_MS);
    }
    const answers = await Promise.all(calls);
    for (const { id, tookMs, status } of answers) {
      if (tookMs < TIMEOUT_MS) continue;
      record.add(`client got ${id}: ${status} after ${Math.round(tookMs)} ms`);
    }
    const unanswered = answers.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
    const late = unanswered.filter(({ tookMs }) =>
      tookMs > TIMEOUT_MS + GRACE_MS
    );
    const longest = Math.max(...answers.map(({ tookMs }) => tookMs));
    record.add(
      `of ${answers.length} requests, ${unanswered.length} had no answer at ` +
        `their route's timeout_ms of ${TIMEOUT_MS}, and ${late.length} none ` +
        `${GRACE_MS} ms later; the longest took ${Math.round(longest)} ms`,
    );
    const stall = /"eventName":"PAUSED","milliseconds":(\d+)/.exec(entry.log);
    if (stall !== null) record.add(`the entry's log: stalled ${stall[1]} ms`);
    return late.length > ALLOWED_COUNT &&
      late.length > ALLOWED_SHARE * unanswered.length;
  } finally {
    agent.destroy();
    await entry.close();
  }
});
