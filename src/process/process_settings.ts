/**
 * What a process is told when it starts: its name, place and addresses.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { Err, Ok, type Result } from "ts-results-es";
import { parseDocument } from "yaml";
import * as z from "zod";

const ADDRESS = z.string().regex(
  /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
  "Expected an IP address and a port",
);
const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "Expected lower-case letters, digits, '-' or '_'",
);
const SHA_256 = z.string().regex(/^[0-9a-f]{64}$/, "Expected a SHA-256 in hex");

/** Bytes that an entry may hold for all its callers; without it there is no such bound. */
const HELD_BYTES_LIMIT = z.number().int().min(1_048_576).max(17_179_869_184)
  .optional();

const COMMON = {
  name: NAME,
  deployment: NAME,
  failureDomain: NAME,
  /** Shared by all processes of the deployment. */
  secret: z.string().min(16).max(1024),
  keyValueAddress: ADDRESS.optional(),
  machineListAddress: ADDRESS.optional(),
  /** Milliseconds between the first signal and the end, at most. */
  drainLimitMs: z.number().int().min(0).max(86_400_000).default(600_000),
};

/** Shape of the process settings of an entry. */
export const ENTRY_PROCESS_SCHEMA = z.strictObject({
  ...COMMON,
  callerAddress: ADDRESS,
  administrationAddress: ADDRESS,
  /** Targets that are dialled whatever the machine list says. */
  targets: z.array(ADDRESS).default([]),
  /** Targets of one pool that are connected to; smaller pools are whole. */
  targetsInView: z.number().int().min(1).max(10_000).default(200),
  /** SHA-256 of the token that may write every path. */
  administratorTokenSha256: SHA_256.optional(),
  heldBytesLimit: HELD_BYTES_LIMIT,
});

/** Shape of the process settings of a target. */
export const TARGET_PROCESS_SCHEMA = z.strictObject({
  ...COMMON,
  address: ADDRESS,
  pool: NAME,
  backEndAddress: ADDRESS,
  concurrency: z.number().int().min(1).max(100_000).default(16),
  queueLength: z.number().int().min(0).max(1_000_000).default(256),
  ledgerLength: z.number().int().min(0).max(10_000_000).default(50_000),
  keptAnswerBytes: z.number().int().min(0).max(1_048_576).default(16_384),
  keptBytes: z.number().int().min(0).max(1_073_741_824).default(8_388_608),
  /** Milliseconds for which tokens are gathered; 0 sends each at once. */
  gatherMs: z.number().int().min(0).max(1000).default(20),
  /** The rank of a lock-step group that the engine is. */
  group: z.strictObject({
    name: NAME,
    rank: z.number().int().min(0).max(1023),
    /** Name of rank 0's target; others may not give orders. */
    coordinatorName: NAME,
    /** Host and port at which the engine takes orders. */
    engineAddress: ADDRESS,
    /** At rank 0: the targets before all ranks, in their order. */
    memberAddresses: z.array(ADDRESS).default([]),
    layers: z.number().int().min(1).max(1000).default(1),
    experts: z.number().int().min(1).max(10_000).default(8),
    slotsPerRank: z.number().int().min(1).max(10_000).default(8),
  }).optional(),
  /** Whether the target claims key slots of its pool. */
  ownsKeys: z.boolean().default(true),
  /**
   * Milliseconds for which the platform must say that a machine is gone before
   * its key slots are taken.
   */
  goneGraceMs: z.number().int().min(30_000).max(3_600_000).default(60_000),
});

/** What the processes that follow a platform's store have in common. */
const STORE_FOLLOWING = {
  name: NAME,
  deployment: NAME,
  /** Shared by all processes of the deployment. */
  secret: z.string().min(16).max(1024),
  failureDomain: NAME,
  storeAddress: ADDRESS,
  /** Host and port for the other processes of the system. */
  peerAddress: ADDRESS,
  /** Processes that are asked when the store cannot be reached. */
  seedAddresses: z.array(ADDRESS).default([]),
  /** Milliseconds between the first signal and the end, at most. */
  drainLimitMs: z.number().int().min(0).max(86_400_000).default(600_000),
};

/** Shape of the process settings of an entry that calls back ends itself. */
export const DIRECT_ENTRY_PROCESS_SCHEMA = z.strictObject({
  ...STORE_FOLLOWING,
  callerAddress: ADDRESS,
  /** Host and port for health checks and metrics. */
  readyAddress: ADDRESS,
  /** Host and port for metrics alone, where they are wanted at a port that is known. */
  metricsAddress: ADDRESS.optional(),
  /** Milliseconds for which a back end that leaves may be sent work. */
  leavingLimitMs: z.number().int().min(100).max(600_000).default(2000),
  heldBytesLimit: HELD_BYTES_LIMIT,
  /** Limits on the retries of all entries together. */
  poolRetries: z.strictObject({
    share: z.number().min(0).max(1),
    slack: z.number().min(0).max(1_000_000),
    windowMs: z.number().int().min(100).max(3_600_000),
  }),
});

/** Shape of the process settings of a process beside a rank's engine. */
export const RANK_PROCESS_SCHEMA = z.strictObject({
  ...STORE_FOLLOWING,
  /** Host and port of the engine on the same machine. */
  engineAddress: ADDRESS,
  /** Host and port for metrics. */
  metricsAddress: ADDRESS.optional(),
  /** Pool that the engine serves. */
  pool: NAME,
  /** What the machine's own link carries, each way: bounds what a decider asks for. */
  linkMegabitsPerSecond: z.number().positive().max(1_000_000).default(100),
});

/** Process settings of an entry that calls back ends itself. */
export type DirectEntryProcessSettings = Readonly<
  z.infer<typeof DIRECT_ENTRY_PROCESS_SCHEMA>
>;

/** Process settings of a process beside a rank's engine. */
export type RankProcessSettings = Readonly<z.infer<typeof RANK_PROCESS_SCHEMA>>;

/** Process settings of an entry. */
export type EntryProcessSettings = Readonly<
  z.infer<typeof ENTRY_PROCESS_SCHEMA>
>;

/** Process settings of a target. */
export type TargetProcessSettings = Readonly<
  z.infer<typeof TARGET_PROCESS_SCHEMA>
>;

/** One finding in the process settings. */
export interface ProcessSettingsFinding {
  /** Property, or empty for the file as a whole. */
  readonly property: string;
  readonly text: string;
}

/** Environment variable that holds the secret when the file does not. */
export const SECRET_VARIABLE = "LAGOONWHARF_SECRET";

/**
 * Reads and checks a file of process settings; all findings come together.
 *
 * @example
 * ```ts
 * const settings = readProcessSettings("entry.yaml", ENTRY_PROCESS_SCHEMA);
 * ```
 */
export function readProcessSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): Result<T, readonly ProcessSettingsFinding[]> {
  const text = tryReadFile(file);
  if (text === undefined) {
    return Err([{ property: "", text: `The file ${file} cannot be read` }]);
  }
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    return Err(document.errors.map((error) => ({
      property: "",
      text: error.message.split("\n")[0] ?? error.message,
    })));
  }
  const value = { ...secretFromEnvironment(), ...document.toJS() };
  const checked = schema.safeParse(value);
  if (checked.success) return Ok(checked.data);
  return Err(checked.error.issues.map((issue) => ({
    property: issue.path.join("."),
    text: issue.message,
  })));
}

function secretFromEnvironment(): { readonly secret?: string } {
  const secret = process.env[SECRET_VARIABLE];
  return secret === undefined ? {} : { secret };
}

function tryReadFile(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch {
    return undefined;
  }
}
