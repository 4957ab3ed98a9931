/**
 * Compiles a bundled program ahead of time.
 *
 * Without this, a start spends most of its processor time on compiling a megabyte of
 * libraries, and a fleet starts hundreds of processes at the same time after a power
 * failure. `npm run bench:start` measures how much this saves.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { once } from "node:events";
import {
  copyFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "yaml";

const LAUNCHER = "scripts/launcher.cjs";
const DEPLOY_FILE = "deploy/system.toml";
const HOST = "127.0.0.1";
/** Address on which no process listens. */
const UNUSED_ADDRESS = `${HOST}:9`;

/** Role in the deploy file whose program is compiled. */
export type CompiledRole = "entry" | "rank";

/** Returns an address that is free now; the program accepts no port 0. */
async function findFreeAddress(): Promise<string> {
  const server = createServer().listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `${HOST}:${port}`;
}

/** Settings that are enough for a process to start and run without a store. */
async function createSettings(role: CompiledRole): Promise<object> {
  const common = {
    name: "compiled",
    deployment: "compiled",
    secret: "only-for-one-start-at-the-build",
    failureDomain: "none",
    storeAddress: UNUSED_ADDRESS,
    peerAddress: await findFreeAddress(),
  };
  if (role === "rank") {
    return { ...common, engineAddress: UNUSED_ADDRESS, pool: "none" };
  }
  return {
    ...common,
    callerAddress: await findFreeAddress(),
    readyAddress: await findFreeAddress(),
    poolRetries: { share: 0.2, slack: 90, windowMs: 10_000 },
  };
}

/**
 * Returns the Node.js flags with which the deploy file runs a role. Node.js rejects code
 * that was compiled with other flags.
 *
 * @example
 * ```ts
 * readNodeFlags('run = "node --a --b=1 target/entry.cjs FILE"', "entry");
 * // ["--a", "--b=1"]
 * ```
 */
export function readNodeFlags(
  deployFile: string,
  role: CompiledRole,
): readonly string[] {
  const line = new RegExp(`^run = "node (.*)target/${role}\\.cjs `, "m");
  const flags = line.exec(deployFile)?.[1]?.trim() ?? "";
  return flags === "" ? [] : flags.split(/\s+/);
}

/**
 * Writes the launcher of a role and the compiled code of its program.
 *
 * @example
 * ```ts
 * await writeCompiledProgram("entry", "target");
 * ```
 */
export async function writeCompiledProgram(
  role: CompiledRole,
  folder: string,
): Promise<void> {
  const launcher = join(folder, `${role}.cjs`);
  copyFileSync(LAUNCHER, launcher);
  const temporaryFolder = mkdtempSync(join(tmpdir(), "lagoonwharf-compile-"));
  const settingsFile = join(temporaryFolder, "settings.yaml");
  writeFileSync(settingsFile, stringify(await createSettings(role)));
  const flags = readNodeFlags(readFileSync(DEPLOY_FILE, "utf8"), role);
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [...flags, "scripts/compile_program.cjs", launcher, settingsFile],
    { encoding: "utf8" },
  );
  rmSync(temporaryFolder, { recursive: true });
  if (status === 0) return;
  // Without the compiled code the program still runs, but starts more slowly.
  console.warn(
    `Cannot compile the ${role} program ahead of time: ${stdout}${stderr}`,
  );
}
