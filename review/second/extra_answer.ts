/**
 * A server sends additional bytes after a complete answer, late: they arrive where the
 * answer to the next request is expected, and bear no id of a request.
 *
 * @module
 */
import type { Socket } from "node:net";
import {
  createBeat,
  createConfig,
  createId,
  Entry,
  HAS_TROUBLE,
  record,
  run,
  seconds,
  send,
  Server,
  type ServerRequest,
  startStore,
  writeAnswer,
} from "./deployment.ts";

/** Share of the faulty server's answers that are followed by additional bytes. */
const SPOILED_SHARE = 0.02;
/** Seconds of the deployment at which the server is faulty. */
const FAULTY_FROM_S = 3;
const FAULTY_UNTIL_S = 8;
const END_S = 10;
const CLIENTS = 8;
const WORK_MS = 20;
/** Additional bytes: a head without `X-Request-Id`. */
const ADDITIONAL = "HTTP/1.1 503 Service Unavailable\r\n" +
  "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/** Statuses that promise that a request has not run. */
const PROMISES = new Set([408, 421, 429, 503]);

const runs = new Map<string, string[]>();
const spoiled = new WeakSet<Socket>();
let answers = 0;
let spoiledCount = 0;

function serve(
  name: string,
  isFaulty: boolean,
  { id, headers }: ServerRequest,
  socket: Socket,
): void {
  const echo = { "X-Request-Id": id };
  if (headers.get("x-expect-instance") !== name) {
    writeAnswer(socket, "421 Misdirected Request", echo);
    return;
  }
  runs.set(id, [...runs.get(id) ?? [], name]);
  record(`${name} runs ${id}`);
  if (spoiled.delete(socket)) {
    record(`${name} sends its additional bytes late, as it runs ${id}`);
    socket.write(ADDITIONAL);
  }
  setTimeout(() => {
    const stamp = { "X-Response-Stamp": `stamp.${name}.${id}` };
    writeAnswer(socket, "200 OK", { ...echo, ...stamp }, `answer to ${id}`);
    const now = seconds();
    const isTime = now >= FAULTY_FROM_S && now < FAULTY_UNTIL_S;
    if (!isFaulty || !HAS_TROUBLE || !isTime) return;
    answers++;
    if (spoiledCount < Math.floor(answers * SPOILED_SHARE)) {
      spoiledCount++;
      spoiled.add(socket);
    }
  }, WORK_MS);
}

const entry = await Entry.create("front-lima-a-1");

async function play(): Promise<boolean> {
  const { store, address } = await startStore();
  store.write(
    "op/config",
    createConfig({
      version: 1,
      routes: [{ prefix: "/puxa403/", kind: "unsafe", service: "desk" }],
      services: ["desk"],
    }),
  );
  for (const name of ["i-1", "i-2"]) {
    const server = new Server(
      name,
      (request, socket) => serve(name, name === "i-1", request, socket),
    );
    await server.listen();
    const beat = createBeat({ service: "desk", address: server.address });
    store.write(`servers/${name}`, beat);
  }
  await entry.start(address, [entry.control]);
  const statuses = new Map<string, number>();
  const keepCalling = async () => {
    while (seconds() < END_S) {
      const id = createId();
      const answer = await send({
        front: entry.front,
        id,
        path: "/puxa403/2f",
        body: `order ${id}`,
      });
      statuses.set(id, answer.status);
      record(`client gets ${answer.status} for ${id}`);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, () => keepCalling()));
  const twice = [...runs].filter(([, names]) => names.length > 1);
  const refused = [...statuses].filter(([id, status]) =>
    PROMISES.has(status) && runs.has(id)
  );
  for (const [id, names] of twice) record(`${id} ran at ${names.join(", ")}`);
  for (const [id, status] of refused) {
    record(`${id} ran, and its client got ${status}`);
  }
  record(
    `${statuses.size} requests, ${answers} answers of the faulty server, ` +
      `${spoiledCount} with additional bytes; ${twice.length} ran twice, ` +
      `${refused.length} refused though they ran`,
  );
  return twice.length === 0 && refused.length === 0;
}

run(play, () => entry.close());
