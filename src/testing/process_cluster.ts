/**
 * Runs entries and targets as real processes with stand-ins of the platform, for tests
 * that kill, stop and signal them.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import { KeyValueStandIn } from "../../standins/key_value_stand_in.ts";
import { VirtualMachineListStandIn } from "../../standins/virtual_machine_list_stand_in.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import { findFreeAddress } from "./free_address.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Token that may write every path. */
export const TEST_TOKEN = "administrator-token-of-tests";
/** Secret of every deployment in tests. */
export const TEST_SECRET = "a-secret-of-tests-only";
const POLL_MS = 25;
const WAIT_LIMIT_MS = 30_000;

/** A running process of lagoonwharf. */
export interface RunningProcess {
  readonly name: string;
  readonly role: "entry" | "target";
  readonly child: ChildProcess;
  /** Where callers (for an entry) or entries (for a target) connect. */
  readonly address: string;
  /** The administration address of an entry, or the address of a target. */
  readonly administrationAddress: string;
  /** Returns everything that the process has logged. */
  readLog(): string;
}

/** Exit code and output of a finished command. */
export interface CommandResult {
  readonly code: number | null;
  readonly output: string;
  readonly errors: string;
}

/** Waits until `isTrue` returns true; fails after 30 seconds. */
export async function waitUntil(
  description: string,
  isTrue: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = Date.now() + WAIT_LIMIT_MS;
  while (!await isTrue()) {
    if (Date.now() > end) throw new Error(`Timed out waiting: ${description}`);
    await sleep(POLL_MS);
  }
}

/** Entries and targets that run as real processes. */
export class ProcessCluster {
  readonly keyValue = new KeyValueStandIn();
  readonly machineList = new VirtualMachineListStandIn();
  readonly #folder = mkdtempSync(join(tmpdir(), "lagoonwharf-test-"));
  readonly #processes: RunningProcess[] = [];
  readonly #closers: (() => void)[] = [];
  #virtualMachines: readonly VirtualMachine[] = [];
  #keyValueAddress = "";
  #machineListAddress = "";

  /** Where the stand-in of the key-value service listens. */
  get keyValueAddress(): string {
    return this.#keyValueAddress;
  }

  /** Starts the stand-ins of the platform. */
  static async create(): Promise<ProcessCluster> {
    const cluster = new ProcessCluster();
    cluster.#keyValueAddress = await findFreeAddress();
    cluster.#machineListAddress = await findFreeAddress();
    await cluster.keyValue.listen(cluster.#keyValueAddress);
    await cluster.machineList.listen(cluster.#machineListAddress);
    return cluster;
  }

  /** Makes a stand-in of a back end listen; it is closed with the cluster. */
  async listen(
    backEnd: { listen(address: string): Promise<void>; close(): void },
  ): Promise<string> {
    const address = await findFreeAddress();
    await backEnd.listen(address);
    this.#closers.push(() => backEnd.close());
    return address;
  }

  /** Starts an entry and adds it to the list of VMs. */
  async startEntry(
    name: string,
    changes: Readonly<Record<string, unknown>> = {},
  ): Promise<RunningProcess> {
    const address = await findFreeAddress();
    const administrationAddress = await findFreeAddress();
    this.#addToList(name, "entry", administrationAddress, "");
    return this.#start("entry", {
      ...this.#getCommonSettings(name),
      callerAddress: address,
      administrationAddress,
      administratorTokenSha256: createHash("sha256").update(TEST_TOKEN)
        .digest("hex"),
      ...changes,
    }, { address, administrationAddress });
  }

  /** Starts a target and adds it to the list of VMs. */
  async startTarget(
    name: string,
    backEndAddress: string,
    changes: Readonly<Record<string, unknown>> = {},
  ): Promise<RunningProcess> {
    const address = await findFreeAddress();
    const pool = name.replace(/-.*$/, "");
    this.#addToList(name, "target", address, pool);
    return this.#start("target", {
      ...this.#getCommonSettings(name),
      address,
      pool,
      backEndAddress,
      ...changes,
    }, { address, administrationAddress: address });
  }

  /** Writes a settings file for a command. */
  writeFile(name: string, text: string): string {
    const file = join(this.#folder, name);
    writeFileSync(file, text);
    return file;
  }

  /** Runs a command until it exits. */
  async run(commandLine: readonly string[]): Promise<CommandResult> {
    const child = spawnProgram(commandLine);
    let output = "";
    let errors = "";
    child.stdout?.on("data", (chunk) => output += chunk);
    child.stderr?.on("data", (chunk) => errors += chunk);
    const [code] = await once(child, "close");
    return { code: code as number | null, output, errors };
  }

  /**
   * Applies a settings document through an entry and returns its revision; it must be
   * accepted.
   */
  async apply(
    entry: RunningProcess,
    path: string,
    text: string,
  ): Promise<number> {
    const response = await request(
      `http://${entry.administrationAddress}/administration/v1/settings${path}`,
      {
        method: "PUT",
        headers: { authorization: `Bearer ${TEST_TOKEN}` },
        body: JSON.stringify({
          text,
          changeId: `${path}-${Date.now()}-${Math.random()}`,
        }),
      },
    );
    const body = await response.body.json() as { readonly revision?: number };
    if (response.statusCode !== 200 || body.revision === undefined) {
      throw new Error(`Not accepted: ${JSON.stringify(body)}`);
    }
    return body.revision;
  }

  /** Reads the status of an entry. */
  async readStatus(entry: RunningProcess): Promise<StatusBody> {
    const response = await request(
      `http://${entry.administrationAddress}/administration/v1/status`,
    );
    return await response.body.json() as StatusBody;
  }

  /** Waits until an entry reports that all these targets answered. */
  async waitForTargets(
    entry: RunningProcess,
    names: readonly string[],
  ): Promise<void> {
    try {
      await waitUntil(`${entry.name} reports ${names.join(" ")}`, async () => {
        const status = await this.#tryReadStatus(entry);
        return names.every((name) =>
          status?.targets.some((target) =>
            target.name === name && target.kind === "answered"
          )
        );
      });
    } catch (error) {
      const logs = this.#processes.map((one) => one.readLog()).join("\n");
      throw new Error(`${(error as Error).message}\n${logs}`);
    }
  }

  /** Waits until an entry and all its targets have a revision in force. */
  async waitForRevision(
    entry: RunningProcess,
    revision: number,
  ): Promise<void> {
    await waitUntil(`revision ${revision} at ${entry.name}`, async () => {
      const status = await this.#tryReadStatus(entry);
      return status !== undefined && status.revision >= revision &&
        status.targets.every((target) => (target.revision ?? 0) >= revision);
    });
  }

  /** Changes the state of a VM in the list of VMs. */
  setState(name: string, state: VirtualMachine["state"]): void {
    this.#virtualMachines = this.#virtualMachines.map((virtualMachine) =>
      virtualMachine.name === name
        ? { ...virtualMachine, state }
        : virtualMachine
    );
    this.machineList.setVirtualMachines(this.#virtualMachines);
  }

  /** Ends all processes and stand-ins of the cluster. */
  async close(): Promise<void> {
    for (const { child } of this.#processes) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all(this.#processes.map(({ child }) => waitForExit(child)));
    for (const close of this.#closers) close();
    this.keyValue.close();
    this.machineList.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #tryReadStatus(entry: RunningProcess): Promise<StatusBody | undefined> {
    try {
      return await this.readStatus(entry);
    } catch {
      return undefined;
    }
  }

  #getCommonSettings(name: string): Readonly<Record<string, unknown>> {
    return {
      name,
      deployment: "test",
      failureDomain: "a",
      secret: TEST_SECRET,
      keyValueAddress: this.#keyValueAddress,
      machineListAddress: this.#machineListAddress,
    };
  }

  #addToList(
    name: string,
    role: VirtualMachine["role"],
    address: SocketAddress,
    pool: string,
  ): void {
    const others = this.#virtualMachines.filter((virtualMachine) =>
      virtualMachine.name !== name
    );
    this.#virtualMachines = [...others, {
      name,
      address,
      role,
      failureDomain: "a",
      pool,
      state: "live",
    }];
    this.machineList.setVirtualMachines(this.#virtualMachines);
  }

  #start(
    role: "entry" | "target",
    settings: Readonly<Record<string, unknown>>,
    addresses: {
      readonly address: string;
      readonly administrationAddress: string;
    },
  ): RunningProcess {
    const name = String(settings["name"]);
    const file = this.writeFile(`${name}.yaml`, stringify(settings));
    const child = spawnProgram([role, file]);
    let log = "";
    child.stdout?.on("data", (chunk) => log += chunk);
    child.stderr?.on("data", (chunk) => log += chunk);
    const running = { name, role, child, ...addresses, readLog: () => log };
    this.#processes.push(running);
    return running;
  }
}

/** The fields of an entry's status that tests read. */
export interface StatusBody {
  readonly revision: number;
  readonly inFlight: number;
  readonly targets: readonly {
    readonly kind: string;
    readonly name: string;
    readonly revision?: number;
    readonly running?: number;
    readonly leaving?: boolean;
  }[];
}

/** Waits until a process exits. Returns its exit code, or null after a signal. */
export async function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  await once(child, "exit");
  return child.exitCode;
}

/**
 * Starts the program from its sources. An environment variable can select the binary, or
 * the folder of the programs that each have one role, instead.
 */
export function spawnProgram(commandLine: readonly string[]): ChildProcess {
  const [command, ...commandArguments] = resolveCommand(commandLine);
  return spawn(command, commandArguments, {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, LAGOONWHARF_TOKEN: TEST_TOKEN },
  });
}

function resolveCommand(
  commandLine: readonly string[],
): readonly [string, ...string[]] {
  const folder = process.env["LAGOONWHARF_PROGRAMS"];
  const [command, role, ...others] = commandLine;
  if (folder !== undefined && command === "platform") {
    return [process.execPath, `${folder}/${role}.cjs`, ...others];
  }
  const binary = process.env["LAGOONWHARF_BINARY"];
  if (binary !== undefined) return [binary, ...commandLine];
  return [process.execPath, "--import", "tsx", "src/main.ts", ...commandLine];
}
