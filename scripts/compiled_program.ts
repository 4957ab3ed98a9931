/**
 * Compiles a bundled program ahead of its start.
 *
 * A start spends most of its processor time on compiling a megabyte of libraries, and a
 * fleet starts hundreds of processes at once after a loss of power. `npm run bench:start`
 * has what this saves.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import {
  copyFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "yaml";

const LAUNCHER = "scripts/launcher.cjs";
const DEPLOY_FILE = "deploy/system.toml";
/** Addresses at which nobody listens; ports of 0 are chosen by the system. */
const NOWHERE = "127.0.0.1:9";
const ANYWHERE = "127.0.0.1:0";

/** A role of the deploy file that is compiled. */
export type CompiledRole = "entry" | "rank";

const OF_BOTH = {
  name: "compiled",
  deployment: "compiled",
  secret: "only-for-one-start-at-the-build",
  failureDomain: "none",
  storeAddress: NOWHERE,
  peerAddress: ANYWHERE,
} as const;

/** Settings with which a process gets as far as it does without a store. */
const SETTINGS: Readonly<Record<CompiledRole, object>> = {
  entry: {
    ...OF_BOTH,
    callerAddress: ANYWHERE,
    readyAddress: ANYWHERE,
    poolRetries: { share: 0.2, slack: 90, windowMs: 10_000 },
  },
  rank: { ...OF_BOTH, engineAddress: NOWHERE, pool: "none" },
};

/**
 * Flags with which the deploy file runs a role: code compiled for others is not taken.
 *
 * @example
 * ```ts
 * readFlags('run = "node --a --b=1 target/entry.cjs FILE"', "entry"); // ["--a", "--b=1"]
 * ```
 */
export function readFlags(
  deployFile: string,
  role: CompiledRole,
): readonly string[] {
  const line = new RegExp(`^run = "node (.*)target/${role}\\.cjs `, "m");
  const flags = line.exec(deployFile)?.[1]?.trim() ?? "";
  return flags === "" ? [] : flags.split(/\s+/);
}

/**
 * Writes the launcher of a role, and the compiled code of its program.
 *
 * @example
 * ```ts
 * writeCompiled("entry", "target");
 * ```
 */
export function writeCompiled(role: CompiledRole, folder: string): void {
  const launcher = join(folder, `${role}.cjs`);
  copyFileSync(LAUNCHER, launcher);
  const temporary = mkdtempSync(join(tmpdir(), "lagoonwharf-compile-"));
  const settings = join(temporary, "settings.yaml");
  writeFileSync(settings, stringify(SETTINGS[role]));
  const flags = readFlags(readFileSync(DEPLOY_FILE, "utf8"), role);
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [...flags, "scripts/compile_program.cjs", launcher, settings],
    { encoding: "utf8" },
  );
  rmSync(temporary, { recursive: true });
  if (status === 0) return;
  // The program runs without it, and only starts more slowly.
  console.warn(`The ${role} is not compiled ahead: ${stdout}${stderr}`);
}
