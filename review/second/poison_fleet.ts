/**
 * Entries before servers that crash under one part of a prompt, with sound requests
 * beside those that have it.
 *
 * @module
 */
import {
  createBeat,
  createConfig,
  createId,
  Entry,
  HAS_TROUBLE,
  record,
  seconds,
  send,
  Server,
  sleep,
  startStore,
  writeAnswer,
} from "./deployment.ts";

/** `contact_ms` of the deployment, in seconds. */
export const CONTACT_S = 3;
/** Seconds after which a crashed server is back. */
const BACK_S = 3;
const SERVERS = 24;
const BAD_PART = "4b7d22e1";
const SHARED_PART = "5c1e07a2";
const EVENTS = 4;
const EVENT_MS = 25;
/** Crashes after which requests with the part may reach servers three times more. */
export const CRASHES_TO_LEARN = 5;
export const MOST_MORE = 3;

/** When a request with the bad part reached a server, and by which entry it came. */
interface Reached {
  readonly at: number;
  readonly id: string;
}

/** A service with its weight in the route. */
export interface FleetService {
  readonly name: string;
  readonly weight: number;
  readonly servers: number;
}

const ONE_SERVICE: readonly FleetService[] = [
  { name: "model", weight: 100, servers: SERVERS },
];

/** Entries, servers and clients. */
export class PoisonFleet {
  readonly entries: Entry[] = [];
  /** Requests with the bad part that reached servers. */
  readonly reached: Reached[] = [];
  /** Seconds at which servers crashed. */
  readonly crashes: number[] = [];
  served = 0;
  sent = 0;
  isOver = false;
  #storeAddress = "";
  readonly #services: readonly FleetService[];

  constructor(services: readonly FleetService[] = ONE_SERVICE) {
    this.#services = services;
  }

  async start(): Promise<void> {
    const { store, address } = await startStore();
    this.#storeAddress = address;
    store.write(
      "op/config",
      createConfig({
        version: 1,
        routes: [{
          prefix: "/lohu930/",
          kind: "stream",
          ...(this.#services.length === 1 ? { service: "model" } : {
            backends: this.#services.map(({ name, weight }) => ({
              service: name,
              weight,
            })),
          }),
          timeout_ms: 8000,
          resumable: true,
          sticky: true,
          gap_aim_ms: 120,
        }],
        services: this.#services.map(({ name }) => name),
      }),
    );
    const names = this.#services.flatMap((service) =>
      Array.from({ length: service.servers }, (_, index) => ({
        service: service.name,
        name: `i-${service.name}-${index + 1}`,
      }))
    );
    for (const { service, name } of names) {
      let born = Date.now();
      const server = new Server(name, (request, socket) => {
        const { id, headers } = request;
        const echo = { "X-Request-Id": id };
        if (headers.get("x-expect-instance") !== name) {
          return writeAnswer(socket, "421 Misdirected Request", echo);
        }
        const isBad = (headers.get("x-prompt-prefix") ?? "").includes(BAD_PART);
        if (isBad) {
          this.reached.push({ at: seconds(), id });
          record(`${name} gets ${id} with the part`);
        }
        if (isBad && HAS_TROUBLE) {
          setTimeout(() => {
            record(`${name} crashes under ${id}`);
            this.crashes.push(seconds());
            server.crash();
            setTimeout(async () => {
              await server.listen(server.address);
              born = Date.now();
              store.write(`servers/${name}`, beat());
              record(`${name} is back`);
            }, BACK_S * 1000);
          }, 30);
          return;
        }
        socket.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
            `X-Request-Id: ${id}\r\nX-Response-Stamp: stamp.${name}.${id}\r\n` +
            "Transfer-Encoding: chunked\r\n\r\n",
        );
        let event = Number(headers.get("last-event-id") ?? -1) + 1;
        const timer = setInterval(() => {
          if (socket.destroyed) return clearInterval(timer);
          if (event >= EVENTS) {
            clearInterval(timer);
            return socket.write("0\r\n\r\n");
          }
          const text = `id: ${event}\ndata: ${name} ${event}\n\n`;
          event++;
          socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
        }, EVENT_MS);
      });
      const beat = () => createBeat({ service, address: server.address, born });
      await server.listen();
      store.write(`servers/${name}`, beat());
    }
    for (const name of ["front-lima-a-1", "front-lima-a-2"]) {
      this.entries.push(await Entry.create(name));
    }
    await this.startEntries();
  }

  /** Starts the entries, which do not run. */
  async startEntries(): Promise<void> {
    const seeds = this.entries.map(({ control }) => control);
    await Promise.all(
      this.entries.map((entry) => entry.start(this.#storeAddress, seeds)),
    );
  }

  /** Sends requests one after the other to the entries in turn, until it is over. */
  async keepSending(
    kind: "sound" | "bad",
    pauseMs: number,
  ): Promise<void> {
    for (let turn = 0; !this.isOver; turn++) {
      const entry = this.entries[turn % this.entries.length];
      if (entry !== undefined) void this.#sendOne(kind, entry.front);
      await sleep(pauseMs);
    }
  }

  async #sendOne(kind: "sound" | "bad", front: string): Promise<void> {
    const id = createId();
    const parts = kind === "bad"
      ? [`${SHARED_PART}:40`, `${BAD_PART}:200`, `${id.slice(-8)}:474`]
      : [`${SHARED_PART}:40`, `${id.slice(-8)}:674`];
    const answer = await send({
      front,
      id,
      path: "/lohu930/2f",
      deadlineMs: 8000,
      headers: {
        "X-Model": "m",
        "X-Token-Counts": "714,150",
        "X-Prompt-Prefix": parts.join(","),
      },
    });
    if (kind === "bad") return record(`client gets ${answer.status} for ${id}`);
    this.sent++;
    if (answer.status === 200 && answer.isComplete) this.served++;
  }

  async close(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.entries.map((entry) => entry.close()));
  }
}
