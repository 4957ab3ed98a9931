/**
 * Schemas, bounds and defaults of the settings documents.
 *
 * @module
 */
import * as z from "zod";
import {
  DEFAULT_PRIORITY,
  LOWEST_PRIORITY,
  PRIORITIES_BY_NAME,
  PRIORITY_NAMES,
} from "../messages/priority.ts";
import { SOCKET_ADDRESS_SCHEMA } from "../messages/socket_address.ts";

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "Expected lower-case letters, digits, '-' or '_'",
);
const SUBTREE = z.string().regex(
  /^(\/|(\/[a-z0-9][a-z0-9_-]{0,62})+)$/,
  "Expected a settings path",
);

const SHA_256 = z.string().regex(/^[0-9a-f]{64}$/, "Expected a SHA-256 in hex");
const MAX_ATTEMPTS = 10;
/** Bounds of objectives in milliseconds. */
export const OBJECTIVE_BOUNDS = { min: 1, max: 3_600_000 };
/** Bounds of deadlines in milliseconds. */
export const DEADLINE_BOUNDS = { min: 10, max: 3_600_000 };
/** Bounds of the size of request bodies, which entries hold in memory. */
export const BODY_BOUNDS = { min: 0, max: 16_777_216 };

/** An integer within bounds. */
function integerWithin(
  { min, max }: { readonly min: number; readonly max: number },
): z.ZodNumber {
  return z.number().int().min(min).max(max);
}
const PRIORITY = z.union([
  z.number().int().min(0).max(LOWEST_PRIORITY),
  z.enum(PRIORITY_NAMES).transform((name) => PRIORITIES_BY_NAME[name]),
]);

/** Schema of an organisation's document. */
export const ORGANISATION_SCHEMA = z.strictObject({
  kind: z.literal("organisation"),
  requestsPerSecond: z.number().positive().max(1_000_000).default(1000),
  burst: z.number().int().positive().max(1_000_000).default(2000),
  concurrency: z.number().int().positive().max(1_000_000).default(1000),
  weight: z.number().positive().max(1000).default(1),
  accessKeySha256: z.array(SHA_256).default([]),
  priority: PRIORITY.optional(),
});

const POOL_SHARE_SCHEMA = z.strictObject({
  pool: NAME,
  weight: z.number().positive().max(1_000_000),
});

/** Schema of a service's document. */
export const SERVICE_SCHEMA = z.strictObject({
  kind: z.literal("service"),
  pathPrefix: z.string().regex(/^\/[^?#\s]*$/, "Expected a URL path"),
  host: z.string().regex(/^[a-z0-9.:-]+$/, "Expected a host name").optional(),
  pool: NAME,
  split: z.array(POOL_SHARE_SCHEMA).min(1).optional(),
  callers: z.enum(["anyone", "access_key"]).default("anyone"),
  mostAttempts: z.number().int().min(1).max(MAX_ATTEMPTS)
    .default(MAX_ATTEMPTS),
  resumable: z.boolean().default(false),
  objectiveMs: integerWithin(OBJECTIVE_BOUNDS).optional(),
  pauseObjectiveMs: integerWithin(OBJECTIVE_BOUNDS).optional(),
  silenceLimitMs: integerWithin(DEADLINE_BOUNDS).optional(),
  handover: z.enum(["lagoonwharf", "scripts"]).default("lagoonwharf"),
  scriptsAddress: SOCKET_ADDRESS_SCHEMA.optional(),
  priority: PRIORITY.default(DEFAULT_PRIORITY),
  defaultDeadlineMs: integerWithin(DEADLINE_BOUNDS).default(60_000),
  longestDeadlineMs: integerWithin(DEADLINE_BOUNDS).default(600_000),
  largestBodyBytes: integerWithin(BODY_BOUNDS).default(1_048_576),
  retryShare: z.number().min(0).max(1).default(0.1),
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/))
    .default(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]),
  keyRetentionMs: z.number().int().min(1000).max(604_800_000)
    .default(86_400_000),
});

/** Schema of a team's document. */
export const TEAM_SCHEMA = z.strictObject({
  kind: z.literal("team"),
  subtree: SUBTREE,
  tokenSha256: SHA_256,
});

/** Schema of a rank group's document. */
export const GROUP_SCHEMA = z.strictObject({
  kind: z.literal("group"),
  preset: z.enum(["skew", "cost"]).default("skew"),
  intervalMs: z.number().int().min(1000).max(3_600_000).default(30_000),
});

/** Schema of a target's document. */
export const TARGET_SCHEMA = z.strictObject({
  kind: z.literal("target"),
  leaving: z.boolean().default(false),
});

/** Schema of a failure domain's document. */
export const FAILURE_DOMAIN_SCHEMA = z.strictObject({
  kind: z.literal("failure_domain"),
  draining: z.boolean().default(false),
});

/** Schema of any document. */
export const DOCUMENT_SCHEMA = z.discriminatedUnion("kind", [
  ORGANISATION_SCHEMA,
  SERVICE_SCHEMA,
  TEAM_SCHEMA,
  GROUP_SCHEMA,
  TARGET_SCHEMA,
  FAILURE_DOMAIN_SCHEMA,
]);
