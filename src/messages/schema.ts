/**
 * Schemas that validate the messages that a process receives.
 *
 * @module
 */
import * as z from "zod";
import { PEER_SCHEMAS } from "./peer_schema.ts";
import { FORMED_GROUP_SCHEMAS } from "./formed_group_schema.ts";
import {
  COORDINATOR_MESSAGE_SCHEMA,
  MEMBER_MESSAGE_SCHEMA,
} from "./group_schema.ts";
import { REFUSAL_NAMES, type RefusalName } from "../refusals/catalogue.ts";
import {
  LOWEST_PRIORITY,
  PRIORITIES_BY_NAME,
  PRIORITY_NAMES,
} from "./priority.ts";
import type { Message } from "./types.ts";

const COUNT = z.number().int().nonnegative();
const NAME = z.string().min(1).max(255);
const BYTES = z.instanceof(Uint8Array);
const HEADERS = z.array(z.tuple([z.string(), z.string()]));
const OUTCOME = z.enum(["not-run", "unknown"]);
const HASH = z.string().regex(/^[0-9a-f]{64}$/);
const ATTEMPT = { requestId: COUNT, attempt: COUNT };
const SEQUENCED = { ...ATTEMPT, sequence: COUNT };
/** Entries of earlier versions send the name of a priority. */
const PRIORITY = z.union([
  COUNT.max(LOWEST_PRIORITY),
  z.enum(PRIORITY_NAMES).transform((name) => PRIORITIES_BY_NAME[name]),
]);
const REASON = z.enum(REFUSAL_NAMES as [RefusalName, ...RefusalName[]]);

const NO_NOTICE = z.object({ kind: z.literal("none") });
const UNREADABLE_NOTICE = z.object({
  kind: z.literal("unreadable"),
  text: z.string(),
});
const BACK_END_NOTICE = z.object({
  rateLimit: z.discriminatedUnion("kind", [
    NO_NOTICE,
    z.object({
      kind: z.literal("limit"),
      perSecond: z.number().nonnegative(),
    }),
    UNREADABLE_NOTICE,
  ]),
  backoff: z.discriminatedUnion("kind", [
    NO_NOTICE,
    z.object({
      kind: z.literal("backoff"),
      milliseconds: z.number().nonnegative(),
    }),
    UNREADABLE_NOTICE,
  ]),
  leaving: z.discriminatedUnion("kind", [
    NO_NOTICE,
    z.object({ kind: z.literal("leaving") }),
    UNREADABLE_NOTICE,
  ]),
});

/** Schema of any message between processes. */
export const MESSAGE_SCHEMA: z.ZodType<Message> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("challenge"), protocol: COUNT, nonce: NAME }),
  z.object({
    kind: z.literal("hello"),
    protocol: COUNT,
    deployment: NAME,
    role: z.enum(["entry", "target", "successor", "decider"]),
    name: NAME,
    incarnation: NAME,
    failureDomain: NAME,
    nonce: NAME,
    proof: NAME,
  }),
  z.object({
    kind: z.literal("welcome"),
    name: NAME,
    incarnation: NAME,
    failureDomain: NAME,
    pool: NAME,
    concurrency: COUNT,
    proof: NAME,
  }),
  z.object({
    kind: z.literal("submit"),
    ...ATTEMPT,
    organisation: NAME,
    service: NAME,
    method: NAME,
    path: z.string(),
    headers: HEADERS,
    body: BYTES,
    priority: PRIORITY,
    weight: z.number().positive(),
    remainingMs: z.number(),
    idempotencyKey: z.string().optional(),
    keyRetentionMs: COUNT,
  }),
  z.object({ kind: z.literal("cancel"), ...ATTEMPT }),
  z.object({
    kind: z.literal("answer_head"),
    ...SEQUENCED,
    status: COUNT,
    headers: HEADERS,
    endsWithConnection: z.boolean().optional(),
    notice: BACK_END_NOTICE.optional(),
  }),
  z.object({ kind: z.literal("answer_data"), ...SEQUENCED, bytes: BYTES }),
  z.object({
    kind: z.literal("answer_end"),
    ...SEQUENCED,
    byteCount: COUNT,
    queued: COUNT,
    running: COUNT,
  }),
  z.object({
    kind: z.literal("refused"),
    ...ATTEMPT,
    reason: REASON,
    outcome: OUTCOME,
    submission: OUTCOME,
    notice: BACK_END_NOTICE.optional(),
  }),
  z.object({
    kind: z.literal("report"),
    queued: COUNT,
    running: COUNT,
    meanRunMs: z.number().nonnegative(),
  }),
  z.object({ kind: z.literal("leaving") }),
  z.object({ kind: z.literal("serving") }),
  z.object({
    kind: z.literal("claims"),
    version: COUNT,
    slotCount: COUNT,
    slots: z.array(COUNT),
  }),
  z.object({ kind: z.literal("settings_offer"), revision: COUNT }),
  z.object({ kind: z.literal("settings_head_request") }),
  z.object({ kind: z.literal("settings_head"), head: z.string() }),
  z.object({ kind: z.literal("settings_fetch"), hashes: z.array(HASH) }),
  z.object({
    kind: z.literal("settings_bodies"),
    asked: z.array(HASH),
    bodies: z.array(z.string()),
  }),
  z.object({ kind: z.literal("status_request") }),
  z.object({
    kind: z.literal("status"),
    revision: COUNT,
    queued: COUNT,
    running: COUNT,
    leaving: z.boolean(),
  }),
  z.object({
    kind: z.literal("group_order"),
    order: COORDINATOR_MESSAGE_SCHEMA,
  }),
  z.object({ kind: z.literal("group_report"), report: MEMBER_MESSAGE_SCHEMA }),
  z.object({ kind: z.literal("ledger_request"), slot: COUNT }),
  z.object({
    kind: z.literal("ledger_slot"),
    slot: COUNT,
    movedAt: z.number().nonnegative(),
    keys: z.array(z.object({
      fingerprint: NAME,
      requestHash: NAME,
      remainingMs: z.number(),
      isAnswered: z.boolean(),
      answer: z.object({ status: COUNT, headers: HEADERS, body: BYTES })
        .optional(),
    })),
  }),
  z.object({ kind: z.literal("rank_load_request") }),
  ...FORMED_GROUP_SCHEMAS,
  ...PEER_SCHEMAS,
  z.object({
    kind: z.literal("rank_load"),
    load: z.object({
      tokens: z.array(z.array(z.number().nonnegative())),
      slowdown: z.number().positive(),
    }),
  }),
]);
