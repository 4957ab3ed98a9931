/**
 * Schemas that validate the received messages of other entries.
 *
 * @module
 */
import * as z from "zod";
import { PROCESS_SCHEMA } from "./listed_process.ts";
import { SOCKET_ADDRESS_SCHEMA } from "./socket_address.ts";

const COUNT = z.number().int().nonnegative();

const INSTANCE_SCHEMA = z.object({
  id: z.string().min(1),
  name: z.string().min(1),
  startedAt: COUNT.optional(),
  address: SOCKET_ADDRESS_SCHEMA,
  pool: z.string().min(1),
  failureDomain: z.string(),
  concurrency: COUNT,
  state: z.enum(["serving", "leaving"]),
  // An invalid value counts as absent, so that it does not invalidate the whole list.
  isCold: z.boolean().optional().catch(undefined),
});

const AGE_MS = z.number().nonnegative();

const CRASHED_REQUEST_SCHEMA = z.object({
  request: z.string().min(1),
  crashes: z.array(z.object({
    target: z.string().min(1),
    aliveAgeMs: AGE_MS,
    endedAgeMs: AGE_MS,
  })),
  servedAgeMs: AGE_MS.optional(),
  refusedAgeMs: AGE_MS.optional(),
});

const TARGET_LIMIT_SCHEMA = z.object({
  target: z.string().min(1),
  perSecond: z.number().nonnegative().optional(),
  version: COUNT,
  ageMs: AGE_MS,
});

const LEAVING_TARGET_SCHEMA = z.object({
  target: z.string().min(1),
  ageMs: AGE_MS,
});

const MEMORIES_SCHEMA = z.object({
  crashes: z.object({
    content: z.string(),
    items: z.array(CRASHED_REQUEST_SCHEMA).optional(),
  }).optional(),
  limits: z.object({
    content: z.string(),
    items: z.array(TARGET_LIMIT_SCHEMA).optional(),
  }).optional(),
  leaving: z.object({
    content: z.string(),
    items: z.array(LEAVING_TARGET_SCHEMA).optional(),
  }).optional(),
});

/** Schemas of all messages between entries. */
export const PEER_SCHEMAS = [
  z.object({
    kind: z.literal("store_news_query"),
    queryId: COUNT,
    settingsVersion: z.number().optional(),
    directoryContent: z.string().optional(),
    processesRevision: COUNT.optional(),
    drainsRevision: COUNT.optional(),
    isFollowing: z.boolean(),
    acceptsCompression: z.boolean().optional(),
    memories: MEMORIES_SCHEMA.default({}),
  }),
  z.object({
    kind: z.literal("store_news"),
    queryId: COUNT.optional(),
    isReading: z.boolean(),
    settingsText: z.string().optional(),
    compressedSettings: z.instanceof(Uint8Array).optional(),
    settingsAgeMs: AGE_MS.optional(),
    drains: z.object({
      revision: COUNT,
      failureDomains: z.array(z.string().min(1)),
    }).optional(),
    directory: z.object({
      revision: COUNT,
      ageMs: AGE_MS,
      content: z.string(),
      instances: z.array(INSTANCE_SCHEMA).optional(),
    }).optional(),
    processes: z.object({
      revision: COUNT,
      processes: z.array(PROCESS_SCHEMA),
    }).optional(),
    memories: MEMORIES_SCHEMA.default({}),
  }),
  z.object({
    kind: z.literal("send_permit_query"),
    queryId: COUNT,
    target: z.string().min(1),
    count: COUNT,
  }),
  z.object({
    kind: z.literal("send_permits"),
    queryId: COUNT,
    granted: COUNT,
    waitMs: z.number().nonnegative(),
  }),
] as const;
