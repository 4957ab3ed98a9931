/**
 * A small deployment for the review's scripts: the project's own entry as a separate
 * process, the project's stand-in of the store, and small servers and clients.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { StoreStandIn } from "../../platform/testing/store_stand_in.ts";

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, notRun: 2 } as const;

/** Milliseconds for which a script may run. */
const LIMIT_MS = 110_000;

const startedAt = performance.now();
const recordFile = process.env.RECORD ?? "record.txt";

/** Returns the seconds since the start of the script. */
export function seconds(): number {
  return (performance.now() - startedAt) / 1000;
}

/** Writes a line to the record, with the time since the start. */
export function record(line: string): void {
  appendFileSync(recordFile, `${seconds().toFixed(3).padStart(8)} ${line}\n`);
}

/** Resolves after some milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Returns a free loopback port. */
export function findPort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port ?? 0 : 0;
      server.close(() => resolve(port));
    });
  });
}

/** Returns a free loopback address. */
export async function findAddress(): Promise<string> {
  return `127.0.0.1:${await findPort()}`;
}

/** Starts the project's stand-in of the store. */
export async function startStore(): Promise<
  { readonly store: StoreStandIn; readonly address: string }
> {
  const store = new StoreStandIn();
  const address = await findAddress();
  await store.listen(address);
  return { store, address };
}

/** A registration of a server, as the platform's pages show it. */
export function createBeat(fields: {
  readonly service: string;
  readonly address: string;
  readonly capacity?: number;
  readonly born?: number;
  readonly state?: string;
}): string {
  return JSON.stringify({
    zone: "lima-a",
    version: "v1",
    capacity: 8,
    state: "ready",
    cold_left_ms: 0,
    seq: 1,
    ...fields,
  });
}

/** A configuration with the given routes, services and one tenant. */
export function createConfig(fields: {
  readonly version: number;
  readonly routes: readonly Readonly<Record<string, unknown>>[];
  readonly services: readonly string[];
}): string {
  return JSON.stringify({
    version: fields.version,
    routes: fields.routes.map((route, index) => ({
      name: `r-${index}`,
      host: HOST,
      timeout_ms: 3000,
      slo_ms: 400,
      priority: 1,
      max_attempts: 2,
      public: false,
      ...route,
    })),
    services: fields.services.map((name) => ({
      name,
      health_path: "/health",
      max_conns: 200,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "hule930", api_keys: [API_KEY], priority: 1 }],
  });
}

/** Host of all routes. */
export const HOST = "ficu95.example";
/** The key of the tenant. */
export const API_KEY = "n2ctnfzs989anu6wsjnb";

/** An entry as a separate process, started with the command of the deploy file. */
export class Entry {
  readonly name: string;
  readonly front: string;
  readonly ready: string;
  readonly control: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #file = join(this.#folder, "boot.yaml");
  #child: ChildProcess | undefined;
  /** Exits of the process that the script did not cause. */
  readonly exits: string[] = [];
  log = "";

  private constructor(
    name: string,
    addresses: {
      readonly front: string;
      readonly ready: string;
      readonly control: string;
    },
  ) {
    this.name = name;
    this.front = addresses.front;
    this.ready = addresses.ready;
    this.control = addresses.control;
  }

  /** Chooses addresses; starts nothing yet. */
  static async create(name: string): Promise<Entry> {
    return new Entry(name, {
      front: await findAddress(),
      ready: await findAddress(),
      control: await findAddress(),
    });
  }

  /** Process id of the running process. */
  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  /** Starts the process with settings like those that the template gives. */
  async start(
    storeAddress: string,
    seeds: readonly string[],
  ): Promise<void> {
    writeFileSync(
      this.#file,
      JSON.stringify({
        name: this.name,
        deployment: "platform",
        secret: "one-network-of-the-platform",
        failureDomain: "lima-a",
        callerAddress: this.front,
        readyAddress: this.ready,
        metricsAddress: await findAddress(),
        peerAddress: this.control,
        seedAddresses: seeds,
        storeAddress,
        drainLimitMs: 8000,
        leavingLimitMs: 2000,
        heldBytesLimit: 11_534_336,
        poolRetries: { share: 0.2, slack: 94, windowMs: 10_000 },
      }),
    );
    const [program = "node", ...words] = readRunCommand();
    const child = spawn(
      program,
      words.map((word) => word.endsWith("boot.toml") ? this.#file : word),
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    this.#child = child;
    child.stdout?.on("data", (chunk) => this.log += chunk);
    child.stderr?.on("data", (chunk) => this.log += chunk);
    child.once("exit", (code, signal) => {
      if (this.#child === child) {
        this.exits.push(`code ${code} signal ${signal}`);
        record(`${this.name} ended by itself: code ${code} signal ${signal}`);
      }
    });
    await this.#waitUntilReady();
    record(`${this.name} is ready, process ${child.pid}`);
  }

  /** Returns whether the process answers that it is ready. */
  async isReady(): Promise<boolean> {
    return await getStatus(`http://${this.ready}/ready`) === 200;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
    record(`${this.name} gets ${name}`);
  }

  /** Kills the process, if it runs. */
  async kill(): Promise<void> {
    const child = this.#child;
    this.#child = undefined;
    if (child === undefined) return;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await exited;
    record(`${this.name} is killed`);
  }

  /** Kills the process and removes its settings. */
  async close(): Promise<void> {
    await this.kill();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #waitUntilReady(): Promise<void> {
    for (let tries = 0; tries < 150; tries++) {
      if (await getStatus(`http://${this.ready}/ready`) === 200) return;
      await sleep(100);
    }
    throw new Error(`${this.name} is not ready: ${this.log.slice(-2000)}`);
  }
}

/** Returns the command of the entry in the deploy file. */
function readRunCommand(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const line = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(text)?.[1];
  if (line === undefined) throw new Error("No command of the entry");
  return line.split(" ");
}

function getStatus(url: string): Promise<number> {
  return new Promise((resolve) => {
    const call = httpRequest(url, { timeout: 500 }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    });
    call.on("error", () => resolve(0));
    call.on("timeout", () => call.destroy());
    call.end();
  });
}

/** A request as a server of the stand-ins received it. */
export interface ServerRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Answers a request on its connection. */
export type ServerHandler = (request: ServerRequest, socket: Socket) => void;

/** A server that reads HTTP/1.1 requests with a length, one at a time. */
export class Server {
  readonly name: string;
  address = "";
  readonly #handle: ServerHandler;
  readonly #sockets = new Set<Socket>();
  #listener = createTcpServer((socket) => this.#serve(socket));

  constructor(name: string, handle: ServerHandler) {
    this.name = name;
    this.#handle = handle;
  }

  async listen(address?: string): Promise<void> {
    this.address = address ?? await findAddress();
    const [host, port] = this.address.split(":");
    this.#listener = createTcpServer((socket) => this.#serve(socket));
    await new Promise<void>((resolve, reject) => {
      this.#listener.once("error", reject);
      this.#listener.listen(Number(port), host, () => resolve());
    });
  }

  /** Resets all connections and listens no more, as a crashed process. */
  crash(): void {
    this.#listener.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #serve(socket: Socket): void {
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => socket.destroy());
    let pending = "";
    socket.on("data", (chunk) => {
      pending += chunk.toString("latin1");
      for (;;) {
        const end = pending.indexOf("\r\n\r\n");
        if (end < 0) return;
        const [first = "", ...lines] = pending.slice(0, end).split("\r\n");
        const headers = new Map(lines.map((line): [string, string] => {
          const colon = line.indexOf(":");
          return [
            line.slice(0, colon).toLowerCase(),
            line.slice(colon + 1).trim(),
          ];
        }));
        const length = Number(headers.get("content-length") ?? 0);
        if (pending.length < end + 4 + length) return;
        const body = pending.slice(end + 4, end + 4 + length);
        pending = pending.slice(end + 4 + length);
        const [method = "", path = ""] = first.split(" ");
        const id = headers.get("x-request-id") ?? "";
        this.#handle({ id, method, path, headers, body }, socket);
      }
    });
  }
}

/** Writes an answer with a length. */
export function writeAnswer(
  socket: Socket,
  status: string,
  headers: Readonly<Record<string, string>>,
  body = "",
): void {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  socket.write(
    `HTTP/1.1 ${status}\r\n${
      lines.join("")
    }Content-Length: ${body.length}\r\n\r\n${body}`,
  );
}

/** An answer as a client received it; status 0: the connection ended without one. */
export interface ClientAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  readonly isComplete: boolean;
  readonly tookMs: number;
}

let sentCount = 0;

/** Returns a new id of a client's attempt. */
export function createId(): string {
  return `9c41d07b${(sentCount++).toString(16).padStart(8, "0")}`;
}

/** Sends a request on a connection of its own; waits until the client's deadline. */
export function send(options: {
  readonly front: string;
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
}): Promise<ClientAnswer> {
  const { front, id, path, method = "POST", body = "" } = options;
  const deadlineMs = options.deadlineMs ?? 3000;
  const [host, port] = front.split(":");
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let headers: ClientAnswer["headers"] = {};
    let text = "";
    let isDone = false;
    const finish = (isComplete: boolean) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      call.destroy();
      const tookMs = performance.now() - sentAt;
      resolve({ status, headers, body: text, isComplete, tookMs });
    };
    const timer = setTimeout(() => finish(false), deadlineMs);
    const call = httpRequest(
      {
        host,
        port,
        path,
        method,
        agent: false,
        headers: {
          "Host": HOST,
          "X-Request-Id": id,
          "X-Deadline-Ms": String(deadlineMs),
          "Authorization": `Bearer ${API_KEY}`,
          "Content-Length": String(Buffer.byteLength(body)),
          ...options.headers,
        },
      },
      (answer) => {
        status = answer.statusCode ?? 0;
        headers = answer.headers;
        answer.on("data", (chunk) => text += chunk);
        answer.on("end", () => finish(answer.complete));
        answer.on("error", () => finish(false));
        answer.on("close", () => finish(answer.complete));
      },
    );
    call.on("error", () => finish(false));
    call.end(body);
  });
}

/** Runs a script, ends what it started, and exits with its outcome. */
export function run(
  play: () => Promise<boolean>,
  close: () => Promise<void>,
): void {
  writeFileSync(recordFile, "");
  setTimeout(async () => {
    record("the script takes too long");
    await close();
    process.exit(EXIT.notRun);
  }, LIMIT_MS).unref();
  record(HAS_TROUBLE ? "with the disruption" : "without the disruption");
  play().then(
    async (hasHeld) => {
      record(hasHeld ? "the rule held" : "the rule was broken");
      await close();
      process.exit(hasHeld ? EXIT.held : EXIT.broken);
    },
    async (error) => {
      record(`the case could not run: ${error?.stack ?? error}`);
      await close();
      process.exit(EXIT.notRun);
    },
  );
}
