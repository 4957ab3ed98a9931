/**
 * A server in trouble answers a stream with an event that has no end, while callers of
 * another service wait for their answers.
 *
 * @module
 */
import { readFileSync } from "node:fs";
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

/** `memory_mb` of a `front` machine; a process that exceeds it is killed. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 20;
/** Milliseconds that the sound server works on a request. */
const WORK_MS = 300;
/** Clients of the sound service, each with one kept connection. */
const KEPT = 12;
/** Streams that the server in trouble answers at once. */
const STREAMS = 8;
/** Kept connections that may be closed without an answer. */
const MOST_CLOSED = 3;
const BLOCK = Buffer.alloc(
  65_536,
  process.env.FILL === "lines" ? "data: x\n" : "x",
);

const entry = await Entry.create("front-lima-a-1");
const received = new Set<string>();
let isOver = false;
let answered = 0;
let closed = 0;
let slowest = 0;
let mostMb = 0;
let endlessBytes = 0;

/** Sends requests one after the other on one kept connection. */
async function keepCalling(): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const [host, port] = entry.front.split(":");
  for (let count = 0; !isOver; count++) {
    const id = createId();
    const sentAt = performance.now();
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
    slowest = Math.max(slowest, performance.now() - sentAt);
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

/** Kills the process when it exceeds its memory, as the platform does. */
async function watchMemory(): Promise<void> {
  while (!isOver) {
    await sleep(MEMORY_CHECK_MS);
    let status = "";
    try {
      status = readFileSync(`/proc/${entry.pid}/status`, "utf8");
    } catch {
      continue;
    }
    const mb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1000;
    mostMb = Math.max(mostMb, mb);
    if (mb <= MEMORY_MB) continue;
    record(`the process has ${mb.toFixed(0)} MB, ${MEMORY_MB} are allowed`);
    entry.signal("SIGKILL");
    return;
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
        {
          prefix: "/lohu930/",
          kind: "stream",
          service: "model",
          timeout_ms: 8000,
          resumable: true,
          sticky: true,
          gap_aim_ms: 120,
        },
      ],
      services: ["desk", "model"],
    }),
  );
  const sound = new Server("i-1", ({ id, headers }, socket) => {
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
  const troubled = new Server("i-2", ({ id, headers }, socket) => {
    const echo = { "X-Request-Id": id };
    if (headers.get("x-expect-instance") !== "i-2") {
      return writeAnswer(socket, "421 Misdirected Request", echo);
    }
    record(`the server in trouble answers ${id}`);
    socket.write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
        `X-Request-Id: ${id}\r\nX-Response-Stamp: stamp.${id}\r\n\r\n` +
        "id: 0\ndata: ",
    );
    if (!HAS_TROUBLE) return void socket.end("done\n\n");
    const sendMore = () => {
      while (!socket.destroyed && socket.writable) {
        endlessBytes += BLOCK.length;
        if (!socket.write(BLOCK)) return;
      }
    };
    socket.on("drain", sendMore);
    socket.on("close", () => record(`the caller closed ${id}`));
    sendMore();
  });
  for (
    const [server, service] of [[sound, "desk"], [troubled, "model"]] as const
  ) {
    await server.listen();
    const beat = createBeat({ service, address: server.address });
    store.write(`servers/${server.name}`, beat);
  }
  await entry.start(address, [entry.control]);
  void watchMemory();
  for (let client = 0; client < KEPT; client++) void keepCalling();
  await sleep(3000);
  record(`answered ${answered}, slowest ${slowest.toFixed(0)} ms`);
  await Promise.all(Array.from({ length: STREAMS }, async () => {
    const id = createId();
    const answer = await send({
      front: entry.front,
      id,
      path: "/lohu930/2f",
      deadlineMs: 8000,
      headers: { "X-Model": "m", "X-Token-Counts": "714,150" },
    });
    record(
      `stream ${id}: ${answer.status} after ${answer.tookMs.toFixed(0)} ms`,
    );
  }));
  await sleep(2000);
  isOver = true;
  record(`${(endlessBytes / 1e6).toFixed(0)} MB were sent without end`);
  record(
    `most memory ${mostMb.toFixed(0)} MB; slowest ${slowest.toFixed(0)} ms`,
  );
  record(
    `answered ${answered}; kept connections closed without an answer though ` +
      `the server had got the request: ${closed}`,
  );
  return closed <= MOST_CLOSED;
}

run(play, () => entry.close());
