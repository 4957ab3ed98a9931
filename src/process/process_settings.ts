/**
 * Settings with which a process starts: its name, failure domain and addresses.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { Err, Ok, type Result } from "ts-results-es";
import { parseDocument } from "yaml";
import * as z from "zod";
import { SOCKET_ADDRESS_SCHEMA as ADDRESS } from "../messages/socket_address.ts";

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "Expected lower-case letters, digits, '-' or '_'",
);
/**
 * Name that the platform assigns. Two processes that exchange it accept up to 255
 * characters, and keys of the platform's store have up to 200 bytes.
 */
const PLATFORM_NAME = z.string().regex(
  /^\S{1,150}$/,
  "Expected 1 to 150 characters without white space",
);
const SHA_256 = z.string().regex(/^[0-9a-f]{64}$/, "Expected a SHA-256 in hex");

/** Bytes that an entry may hold for all its callers; unlimited if undefined. */
const HELD_BYTES_LIMIT = z.number().int().min(1_048_576).max(17_179_869_184)
  .optional();

const COMMON_SETTINGS = {
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

/** Schema of the process settings of an entry. */
export const ENTRY_PROCESS_SCHEMA = z.strictObject({
  ...COMMON_SETTINGS,
  callerAddress: ADDRESS,
  administrationAddress: ADDRESS,
  /** Targets that are dialled in addition to those in the list of VMs. */
  targets: z.array(ADDRESS).default([]),
  /** Maximum number of targets of one pool that the entry connects to. */
  targetsInView: z.number().int().min(1).max(10_000).default(200),
  /** SHA-256 of the token that grants write access to all paths. */
  administratorTokenSha256: SHA_256.optional(),
  heldBytesLimit: HELD_BYTES_LIMIT,
});

/** Schema of the process settings of a target. */
export const TARGET_PROCESS_SCHEMA = z.strictObject({
  ...COMMON_SETTINGS,
  address: ADDRESS,
  pool: NAME,
  backEndAddress: ADDRESS,
  concurrency: z.number().int().min(1).max(100_000).default(16),
  queueLength: z.number().int().min(0).max(1_000_000).default(256),
  ledgerLength: z.number().int().min(0).max(10_000_000).default(50_000),
  keptAnswerBytes: z.number().int().min(0).max(1_048_576).default(16_384),
  keptBytes: z.number().int().min(0).max(1_073_741_824).default(8_388_608),
  /**
   * Milliseconds for which tokens are collected into one message; 0 sends each
   * immediately.
   */
  gatherMs: z.number().int().min(0).max(1000).default(20),
  /** The lock-step group and the rank of the engine. */
  group: z.strictObject({
    name: NAME,
    rank: z.number().int().min(0).max(1023),
    /** Name of rank 0's target; orders of other targets are rejected. */
    coordinatorName: NAME,
    /** Host and port at which the engine accepts orders. */
    engineAddress: ADDRESS,
    /** At rank 0: addresses of the targets of all ranks, in order of rank. */
    memberAddresses: z.array(ADDRESS).default([]),
    layers: z.number().int().min(1).max(1000).default(1),
    experts: z.number().int().min(1).max(10_000).default(8),
    slotsPerRank: z.number().int().min(1).max(10_000).default(8),
  }).optional(),
  /** Whether the target claims key slots of its pool. */
  ownsKeys: z.boolean().default(true),
  /**
   * Milliseconds for which the platform must report a VM as gone before its key slots
   * are claimed.
   */
  goneGraceMs: z.number().int().min(30_000).max(3_600_000).default(60_000),
});

/** Settings of all processes that follow the platform's store. */
const COMMON_STORE_SETTINGS = {
  name: PLATFORM_NAME,
  deployment: NAME,
  /** Shared by all processes of the deployment. */
  secret: z.string().min(16).max(1024),
  failureDomain: PLATFORM_NAME,
  storeAddress: ADDRESS,
  /** Host and port for other lagoonwharf processes. */
  peerAddress: ADDRESS,
  /** Processes that are queried if the store is unreachable. */
  seedAddresses: z.array(ADDRESS).default([]),
  /** Milliseconds between the first signal and the end, at most. */
  drainLimitMs: z.number().min(0).max(86_400_000).default(600_000),
};

/** Schema of the process settings of an entry that calls back ends itself. */
export const DIRECT_ENTRY_PROCESS_SCHEMA = z.strictObject({
  ...COMMON_STORE_SETTINGS,
  callerAddress: ADDRESS,
  /** Host and port for health checks and metrics. */
  readyAddress: ADDRESS,
  /** Host and port of a separate listener for metrics, at a fixed port. */
  metricsAddress: ADDRESS.optional(),
  /** Milliseconds for which requests may still be sent to a leaving back end. */
  leavingLimitMs: z.number().min(100).max(600_000).default(2000),
  heldBytesLimit: HELD_BYTES_LIMIT,
  /** Open files and sockets that the platform allows the process. */
  descriptorLimit: z.number().int().min(512).default(65_536),
  /** Limits on the retries of all entries together. */
  poolRetries: z.strictObject({
    share: z.number().min(0),
    slack: z.number().min(0),
    windowMs: z.number().min(100).max(3_600_000),
  }),
});

/** Schema of the process settings of the sidecar of a rank's engine. */
export const RANK_PROCESS_SCHEMA = z.strictObject({
  ...COMMON_STORE_SETTINGS,
  /** Host and port of the engine on the same VM. */
  engineAddress: ADDRESS,
  /** Host and port for metrics. */
  metricsAddress: ADDRESS.optional(),
  /** Pool that the engine serves. */
  pool: PLATFORM_NAME,
  /**
   * Bandwidth of the VM's network link in each direction; limits the data that a
   * decider requests.
   */
  linkMegabitsPerSecond: z.number().positive().max(1_000_000).default(100),
});

/** Process settings of an entry that calls back ends itself. */
export type DirectEntryProcessSettings = Readonly<
  z.infer<typeof DIRECT_ENTRY_PROCESS_SCHEMA>
>;

/** Process settings of the sidecar of a rank's engine. */
export type RankProcessSettings = Readonly<z.infer<typeof RANK_PROCESS_SCHEMA>>;

/** Process settings of an entry. */
export type EntryProcessSettings = Readonly<
  z.infer<typeof ENTRY_PROCESS_SCHEMA>
>;

/** Process settings of a target. */
export type TargetProcessSettings = Readonly<
  z.infer<typeof TARGET_PROCESS_SCHEMA>
>;

/** A finding in the process settings. */
export interface ProcessSettingsFinding {
  /** The property, or empty if the finding concerns the whole file. */
  readonly property: string;
  readonly text: string;
}

/**
 * Environment variable from which the secret is read if the file does not contain it.
 */
export const SECRET_VARIABLE = "LAGOONWHARF_SECRET";

/**
 * Reads and checks a file of process settings; an error contains all findings.
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
  const value = { ...readSecretFromEnvironment(), ...document.toJS() };
  const checked = schema.safeParse(value);
  if (checked.success) return Ok(checked.data);
  return Err(checked.error.issues.map((issue) => ({
    property: issue.path.join("."),
    text: issue.message,
  })));
}

function readSecretFromEnvironment(): { readonly secret?: string } {
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
