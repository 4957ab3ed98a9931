/**
 * A small deployment on loopback addresses: the project's entry as the deploy file starts
 * it, the project's stand-in of the store, and settings filled into its template.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../platform/testing/store_stand_in.ts";

/** Host of all addresses. */
export const HOST = "127.0.0.1";
/** Host name of all routes. */
export const ROUTE_HOST = "ficu95.example";
/** Access key of the only tenant. */
export const ACCESS_KEY = "n2ctnfzs989anu6wsjnb";

/** Whether the disruption is to be made. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Writes what was sent, answered and run to `record.txt` in the case's folder. */
export class RunRecord {
  readonly #file: string;
  readonly #startedAt = performance.now();

  constructor(folder: string) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, `trouble: ${HAS_TROUBLE ? "yes" : "no"}\n`);
  }

  add(text: string): void {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#file, `${seconds} ${text}\n`);
  }
}

/** Takes a port that was free a moment ago. */
export async function takePort(): Promise<number> {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, "listening");
  const address = server.address();
  server.close();
  await once(server, "close");
  if (address === null || typeof address === "string") throw new Error("port");
  return address.port;
}

/** A row of `routes` in the operator's configuration. */
export type RouteRow = Readonly<Record<string, unknown>>;

/** Writes a configuration, as the operator does. */
export function writeConfiguration(
  store: StoreStandIn,
  version: number,
  routes: readonly RouteRow[],
  keys: readonly string[] = [ACCESS_KEY],
  limits: Readonly<Record<string, number>> = {},
): void {
  const services = new Set(
    routes.flatMap(({ service, backends }) =>
      Array.isArray(backends) ? backends.map((one) => one.service) : [service]
    ),
  );
  store.write(
    "op/config",
    JSON.stringify({
      version,
      routes,
      services: [...services].map((name) => ({ name })),
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: 4194304,
        header_timeout_ms: 5000,
        idle_timeout_ms: 10000,
        ...limits,
      },
      tenants: [{ name: "hule930", api_keys: keys }],
    }),
  );
}

/** Registers a server, as it does itself. */
export function registerServer(
  store: StoreStandIn,
  id: string,
  { service, port }: { readonly service: string; readonly port: number },
): void {
  store.write(
    `servers/${id}`,
    JSON.stringify({
      service,
      address: `${HOST}:${port}`,
      zone: "lima-a",
      version: "1",
      capacity: 8,
      state: "ready",
      cold_left_ms: 0,
      seq: 1,
    }),
  );
}

/** Fills the template of the deploy file, which has no sections. */
function fillTemplate(fields: Readonly<Record<string, unknown>>): string {
  const template = readFileSync("deploy/entry.yaml", "utf8");
  return template.replaceAll(
    /\{\{([a-z_.]+)(\|json)?\}\}/g,
    (_, name: string, isJson: string | undefined) => {
      const value = name.split(".").reduce<unknown>(
        (at, key) => (at as Record<string, unknown> | undefined)?.[key],
        fields,
      );
      return isJson === undefined ? String(value) : JSON.stringify(value);
    },
  );
}

/** One entry as a process of its own. */
export class Entry {
  /** Address for other entries. */
  readonly control: string;
  readonly callerPort: number;
  readonly #readyPort: number;
  readonly #folder: string;
  readonly #file: string;
  #child: ChildProcess | undefined;
  log = "";

  private constructor(
    control: string,
    callerPort: number,
    readyPort: number,
  ) {
    this.control = control;
    this.callerPort = callerPort;
    this.#readyPort = readyPort;
    this.#folder = mkdtempSync(join(tmpdir(), "lagoonwharf-review-"));
    this.#file = join(this.#folder, "boot.yaml");
  }

  /** Writes the settings; `seeds` are the seeds in place of its own address. */
  static async create(
    storePort: number,
    name = "front-lima-a-1",
    seeds?: readonly string[],
  ): Promise<Entry> {
    const control = `${HOST}:${await takePort()}`;
    const entry = new Entry(control, await takePort(), await takePort());
    const text = fillTemplate({
      node: name,
      zone: "lima-a",
      bind_ip: HOST,
      seed_addrs: seeds ?? [control],
      listen: {
        front: `${HOST}:${entry.callerPort}`,
        ready: `${HOST}:${entry.#readyPort}`,
        control,
      },
      provider: { address: `${HOST}:${storePort}` },
      bounds: {
        grace_s: 8,
        drain_ms: 2000,
        retry_ratio: 0.2,
        retry_slack: 94,
        retry_window_s: 10,
      },
    });
    const metrics = `${HOST}:${await takePort()}`;
    writeFileSync(entry.#file, text.replace(`${HOST}:9464`, metrics));
    return entry;
  }

  get child(): ChildProcess {
    if (this.#child === undefined) throw new Error("not started");
    return this.#child;
  }

  /** Starts the process and waits until it is ready. */
  async start(): Promise<void> {
    this.#spawn();
    await this.waitUntilReady();
  }

  /** Starts the process with the command of the deploy file. */
  #spawn(): void {
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const line = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(deploy)?.[1];
    if (line === undefined) throw new Error("no run line");
    const [program = "", ...words] = line.split(" ")
      .map((word) => word === "/etc/lagoonwharf/boot.toml" ? this.#file : word);
    const child = spawn(program, words, { stdio: ["ignore", "pipe", "pipe"] });
    this.#child = child;
    child.stdout?.on("data", (chunk) => this.log += chunk);
    child.stderr?.on("data", (chunk) => this.log += chunk);
  }

  async waitUntilReady(): Promise<void> {
    if (await this.#becomesReady(20_000)) return;
    throw new Error(`not ready: ${this.log}`);
  }

  async #becomesReady(limitMs: number): Promise<boolean> {
    const end = Date.now() + limitMs;
    while (await this.#getReadyStatus() !== 200) {
      if (Date.now() > end) return false;
      await sleep(50);
    }
    return true;
  }

  /** Kills and starts the process; returns whether it is ready within the limit. */
  async restart(limitMs: number): Promise<boolean> {
    await this.#kill();
    this.#spawn();
    return await this.#becomesReady(limitMs);
  }

  async #getReadyStatus(): Promise<number> {
    return await new Promise((resolve) => {
      const url = `http://${HOST}:${this.#readyPort}/ready`;
      get(url, { agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode ?? 0);
      }).on("error", () => resolve(0));
    });
  }

  async #kill(): Promise<void> {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    if (child.signalCode === null) await once(child, "exit");
  }

  async close(): Promise<void> {
    await this.#kill();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Starts the stand-in of the store. */
export async function startStore(): Promise<
  { readonly store: StoreStandIn; readonly port: number }
> {
  const store = new StoreStandIn();
  const port = await takePort();
  await store.listen(`${HOST}:${port}`);
  return { store, port };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it failed. */
export function runCase(
  play: (record: RunRecord) => Promise<boolean>,
): void {
  const folder = process.argv[2];
  if (folder === undefined) throw new Error("Give the case's folder");
  const record = new RunRecord(folder);
  play(record).then((isBroken) => {
    record.add(isBroken ? "RULE BROKEN" : "rule held");
    console.log(isBroken ? "rule broken" : "rule held");
    process.exit(isBroken ? 1 : 0);
  }, (error) => {
    record.add(`could not run: ${error?.stack ?? error}`);
    console.log(`could not run: ${error}`);
    process.exit(2);
  });
}
