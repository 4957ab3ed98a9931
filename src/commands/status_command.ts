/**
 * `lagoonwharf status`: prints the settings revision and load of each process.
 *
 * @module
 */
import process from "node:process";
import {
  AdministrationClient,
  EntryUnreachableError,
} from "./administration_client.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

/** Options of {@link runStatus}. */
export interface StatusCommandOptions {
  readonly entry: string;
  readonly token: string;
}

/** State of one process. */
export interface StatusRow {
  readonly role: "entry" | "target";
  readonly name: string;
  /** Undefined when the process could not be reached. */
  readonly revision?: number;
  readonly inFlight?: number;
  readonly isLeaving?: boolean;
}

interface EntryStatusBody {
  readonly process: string;
  readonly revision: number;
  readonly draining: boolean;
  readonly inFlight: number;
  readonly targets: readonly {
    readonly kind: "answered" | "not_asked";
    readonly name: string;
    readonly revision?: number;
    readonly queued?: number;
    readonly running?: number;
    readonly leaving?: boolean;
  }[];
  readonly entries: readonly {
    readonly name: string;
    readonly address: string;
  }[];
}

const STATUS_PATH = "/administration/v1/status";

/** Prints one line for each process. */
export async function runStatus(
  options: StatusCommandOptions,
): Promise<ExitCode> {
  try {
    for (const row of await readDeploymentStatus(options)) {
      process.stdout.write(`${formatRow(row)}\n`);
    }
    return EXIT_CODES.OK;
  } catch (error) {
    if (!(error instanceof EntryUnreachableError)) throw error;
    process.stderr.write(`The entry did not answer: ${error.message}\n`);
    return EXIT_CODES.FAILED;
  }
}

/**
 * Reads the state of every process that one entry knows. The state of the other entries
 * is read from each of them; that of the targets comes from the first entry.
 *
 * @throws {EntryUnreachableError} when the first entry does not answer
 */
export async function readDeploymentStatus(
  options: StatusCommandOptions,
): Promise<readonly StatusRow[]> {
  const first = await readEntry(options.entry, options.token);
  const rows: StatusRow[] = [createEntryRow(first)];
  for (const entry of first.entries) {
    if (entry.name === first.process) continue;
    rows.push(await tryReadEntryRow(entry.name, entry.address, options));
  }
  return [...rows, ...first.targets.map(createTargetRow)];
}

async function tryReadEntryRow(
  name: string,
  address: string,
  options: StatusCommandOptions,
): Promise<StatusRow> {
  try {
    return createEntryRow(await readEntry(address, options.token));
  } catch {
    return { role: "entry", name };
  }
}

async function readEntry(
  address: string,
  token: string,
): Promise<EntryStatusBody> {
  const client = new AdministrationClient({ address, token });
  const answer = await client.get(STATUS_PATH);
  return answer.body as unknown as EntryStatusBody;
}

function createEntryRow(body: EntryStatusBody): StatusRow {
  return {
    role: "entry",
    name: body.process,
    revision: body.revision,
    inFlight: body.inFlight,
    isLeaving: body.draining,
  };
}

function createTargetRow(
  target: EntryStatusBody["targets"][number],
): StatusRow {
  const inFlight = target.kind === "answered"
    ? (target.queued ?? 0) + (target.running ?? 0)
    : undefined;
  return {
    role: "target",
    name: target.name,
    revision: target.revision,
    inFlight,
    isLeaving: target.leaving,
  };
}

function formatRow(row: StatusRow): string {
  if (row.revision === undefined) return `${row.role} ${row.name}: not asked`;
  const leaving = row.isLeaving ? ", leaving" : "";
  return `${row.role} ${row.name}: revision ${row.revision}, ` +
    `${row.inFlight} in flight${leaving}`;
}
