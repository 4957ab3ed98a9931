/**
 * Another writer leaves an entry below `servers/` that lacks fields, for a service whose
 * servers have not started yet, while callers of another service wait for their answers.
 *
 * @module
 */
import { Agent, request as httpRequest } from "node:http";
import {
  API_KEY,
  createBeat,
  createConfig,
  createId,
  Entry,
  HAS_TROUBLE,
  HOST,
  record,
  run,
  send,
  Server,
  sleep,
  startStore,
  writeAnswer,
} from "./deployment.ts";

/** Milliseconds that the sound server works on a request. */
const WORK_MS = 400;
/** Clients of the sound service, each with one kept connection. */
const KEPT = 12;
/** Clients of the service without servers. */
const OTHERS = 40;
/** Kept connections that may be closed without an answer. */
const MOST_CLOSED = 3;
/** `version`, `cold_left_ms` and `seq` are missing, and no port is that high. */
const FOREIGN = JSON.stringify({
  service: "next",
  address: "127.0.0.1:80800",
  zone: "lima-a",
  capacity: 8,
  state: "ready",
});

const entry = await Entry.create("front-lima-a-1");
const received = new Set<string>();
let isOver = false;
let answered = 0;
let closed = 0;
let refused = 0;

/** Sends requests one after the other on one kept connection. */
async function keepCalling(): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const [host, port] = entry.front.split(":");
  for (let count = 0; !isOver; count++) {
    const id = createId();
    const outcome = await new Promise<string>((resolve) => {
      const call = httpRequest(
        {
          host,
          port,
          path: "/puxa403/2f",
          method: "POST",
          agent,
          headers: {
            "Host": HOST,
            "X-Request-Id": id,
            "X-Deadline-Ms": "3000",
            "Authorization": `Bearer ${API_KEY}`,
            "Content-Length": "5",
          },
        },
        (answer) => {
          answer.resume();
          answer.on("close", () => resolve(String(answer.statusCode)));
        },
      );
      call.on("error", (error) => resolve(`closed (${error.message})`));
      call.end("order");
    });
    if (outcome === "200") {
      answered++;
      continue;
    }
    const wasKept = count > 0;
    record(
      `client gets ${outcome} for ${id} on a ${wasKept ? "kept" : "new"} ` +
        `connection; the server ${received.has(id) ? "had" : "had not"} got it`,
    );
    if (wasKept && received.has(id) && outcome.startsWith("closed")) closed++;
    await sleep(200);
  }
}

async function keepCallingOther(): Promise<void> {
  while (!isOver) {
    const { status } = await send({
      front: entry.front,
      id: createId(),
      path: "/lohu930/2f",
    });
    if (status === 503) refused++;
    await sleep(20);
  }
}

async function play(): Promise<boolean> {
  const { store, address } = await startStore();
  store.write(
    "op/config",
    createConfig({
      version: 1,
      routes: [
        { prefix: "/puxa403/", kind: "unsafe", service: "desk" },
        { prefix: "/lohu930/", kind: "safe", service: "next" },
      ],
      services: ["desk", "next"],
    }),
  );
  const server = new Server("i-1", ({ id, headers }, socket) => {
    const echo = { "X-Request-Id": id };
    if (headers.get("x-expect-instance") !== "i-1") {
      return writeAnswer(socket, "421 Misdirected Request", echo);
    }
    received.add(id);
    const stamp = { "X-Response-Stamp": `stamp.${id}` };
    setTimeout(
      () => writeAnswer(socket, "200 OK", { ...echo, ...stamp }, "done"),
      WORK_MS,
    );
  });
  await server.listen();
  const beat = createBeat({ service: "desk", address: server.address });
  store.write("servers/i-1", beat);
  await entry.start(address, [entry.control]);
  for (let client = 0; client < KEPT; client++) void keepCalling();
  for (let client = 0; client < OTHERS; client++) void keepCallingOther();
  await sleep(8000);
  record(`answered ${answered}, closed ${closed}; other service: ${refused}`);
  if (HAS_TROUBLE) {
    record(`another writer's entry: ${FOREIGN}`);
    store.write("servers/other", FOREIGN);
  }
  await sleep(8000);
  isOver = true;
  record(
    `answered ${answered}; kept connections closed without an answer though ` +
      `the server had got the request: ${closed}`,
  );
  record(`the entry ended by itself ${entry.exits.length} times`);
  return closed <= MOST_CLOSED;
}

run(play, () => entry.close());
