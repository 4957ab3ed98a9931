/**
 * An entry's open connections to the store go silent while another entry is added, and a
 * server names a limit for both.
 *
 * @module
 */
import { once } from "node:events";
import { Agent, createServer, get } from "node:http";
import {
  connect,
  createServer as createTcpServer,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { getRendezvousRank } from "../src/core/rendezvous_hash.ts";
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
const FIRST = "front-lima-a-1";
const ADDED = "front-lima-a-2";
/** Requests a second that the server takes from all entries together. */
const LIMIT = 20;
const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
/** One and a half times what the limit allows in the window, and 5 requests. */
const ALLOWED = 1.5 * LIMIT * WINDOW_MS / 1000 + 5;
/** How long an entry has passed on the limit before its requests count. */
const KNOWN_MS = 500;
const REQUEST_INTERVAL_MS = 20;
const SILENT_AFTER_MS = 2000;
const LOAD_MS = 20_000;

interface Arrival {
  readonly at: number;
  readonly entry: string;
}

/** Relays connections to the store until those that are open fall silent. */
class StoreRelay {
  readonly #open = new Set<{ isSilent: boolean }>();

  async listen(storePort: number): Promise<number> {
    const port = await takePort();
    const server = createTcpServer((near) => this.#relay(near, storePort));
    server.listen(port, HOST);
    await once(server, "listening");
    return port;
  }

  silenceOpen(): number {
    for (const pair of this.#open) pair.isSilent = true;
    return this.#open.size;
  }

  #relay(near: Socket, storePort: number): void {
    const far = connect(storePort, HOST);
    const pair = { isSilent: false };
    this.#open.add(pair);
    for (const [from, to] of [[near, far], [far, near]] as const) {
      from.on("data", (bytes) => {
        if (!pair.isSilent) to.write(bytes);
      });
      from.on("error", () => undefined);
      from.on("close", () => {
        if (pair.isSilent) return;
        this.#open.delete(pair);
        to.destroy();
      });
    }
  }
}

/** A server of which the added entry is the first choice to issue permits. */
function findServerId(): string {
  for (let number = 0;; number++) {
    const id = `i-${number}`;
    const first = getRendezvousRank(id, FIRST);
    if (getRendezvousRank(id, ADDED) < first) return id;
  }
}

function sendRequest(agent: Agent, entry: Entry, name: string, id: string) {
  const request = get({
    host: HOST,
    port: entry.callerPort,
    agent,
    path: `/cuti104/${name}`,
    headers: {
      "host": ROUTE_HOST,
      "x-request-id": id,
      "x-deadline-ms": "1007",
      "authorization": `Bearer ${ACCESS_KEY}`,
    },
  }, (answer) => answer.resume());
  request.on("error", () => undefined);
}

async function sendLoad(entry: Entry, name: string): Promise<void> {
  const agent = new Agent({ keepAlive: true });
  const end = performance.now() + LOAD_MS;
  for (let number = 0; performance.now() < end; number++) {
    sendRequest(agent, entry, name, `${name}-${number}`);
    await sleep(REQUEST_INTERVAL_MS);
  }
}

function judge(arrivals: readonly Arrival[], record: RunRecord): boolean {
  const firstAt = new Map<string, number>();
  for (const { entry, at } of arrivals) {
    if (!firstAt.has(entry)) firstAt.set(entry, at);
  }
  const from = (arrivals[0]?.at ?? 0) + CONTACT_MS;
  const counted = arrivals.filter(({ entry, at }) =>
    at >= from && at >= (firstAt.get(entry) ?? 0) + KNOWN_MS
  );
  let most = 0;
  for (const { at } of counted) {
    const inWindow = counted.filter((one) =>
      one.at >= at && one.at < at + WINDOW_MS
    );
    most = Math.max(most, inWindow.length);
  }
  const seconds = Math.ceil((arrivals.at(-1)?.at ?? 0) / 1000);
  for (let second = 0; second < seconds; second++) {
    const count = (name: string) =>
      arrivals.filter(({ at, entry }) =>
        entry === name && Math.floor(at / 1000) === second
      ).length;
    record.add(`second ${second}: ${count(FIRST)} and ${count(ADDED)} arrive`);
  }
  record.add(`most in ${WINDOW_MS} ms: ${most}, allowed ${ALLOWED}`);
  return most > ALLOWED;
}

runCase(async (record) => {
  const { store, port: storePort } = await startStore();
  const relay = new StoreRelay();
  const relayPort = await relay.listen(storePort);
  const id = findServerId();
  const arrivals: Arrival[] = [];
  const startedAt = performance.now();
  const serverPort = await takePort();
  const server = createServer((request, response) => {
    request.resume();
    const entry = request.url?.split("/").at(-1) ?? "";
    arrivals.push({ at: performance.now() - startedAt, entry });
    const requestId = String(request.headers["x-request-id"]);
    response.setHeader("x-request-id", requestId);
    response.setHeader("x-response-stamp", `stamp-of-${requestId}`);
    response.setHeader("server-limit", String(LIMIT));
    setTimeout(() => response.end("ok"), 10);
  });
  server.listen(serverPort, HOST);
  await once(server, "listening");
  registerServer(store, id, { service: SERVICE, port: serverPort });
  writeConfiguration(store, 1, [{
    name: "r-1",
    host: ROUTE_HOST,
    prefix: "/cuti104/",
    kind: "safe",
    timeout_ms: 1000,
    slo_ms: 100,
    service: SERVICE,
    max_attempts: 2,
    public: false,
  }]);
  const first = await Entry.create(relayPort, FIRST);
  const added = await Entry.create(storePort, ADDED, [first.control]);
  try {
    await first.start();
    const firstLoad = sendLoad(first, FIRST);
    await sleep(SILENT_AFTER_MS);
    if (HAS_TROUBLE) {
      const count = relay.silenceOpen();
      record.add(`${count} connections of ${FIRST} to the store go silent`);
    }
    await added.start();
    record.add(`${ADDED} is added and ready`);
    await Promise.all([firstLoad, sendLoad(added, ADDED)]);
    return judge(arrivals, record);
  } finally {
    await first.close();
    await added.close();
  }
});
