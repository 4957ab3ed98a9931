/**
 * Shapes of the messages between entries, checked on arrival.
 *
 * @module
 */
import * as z from "zod";
import { PROCESS_SCHEMA } from "../listed_process.ts";

const COUNT = z.number().int().nonnegative();

const INSTANCE_SCHEMA = z.object({
  id: z.string().min(1),
  name: z.string().min(1),
  startedAt: COUNT.optional(),
  address: z.string().min(1),
  pool: z.string().min(1),
  failureDomain: z.string(),
  concurrency: COUNT,
  state: z.enum(["serving", "leaving"]),
});

const AGE_MS = z.number().nonnegative();

const CRASHES_SCHEMA = z.object({
  content: z.string(),
  requests: z.array(z.object({
    request: z.string().min(1),
    crashes: z.array(z.object({
      target: z.string().min(1),
      aliveAgeMs: AGE_MS,
      endedAgeMs: AGE_MS,
    })),
    servedAgeMs: AGE_MS.optional(),
  })).optional(),
});

/** Shapes of all messages between entries. */
export const PEER_SCHEMAS = [
  z.object({
    kind: z.literal("store_news_query"),
    queryId: COUNT,
    settingsVersion: COUNT.optional(),
    directoryContent: z.string().optional(),
    processesRevision: COUNT.optional(),
    isFollowing: z.boolean(),
    crashes: CRASHES_SCHEMA.optional(),
  }),
  z.object({
    kind: z.literal("store_news"),
    queryId: COUNT.optional(),
    isReading: z.boolean(),
    settingsText: z.string().optional(),
    settingsAgeMs: AGE_MS.optional(),
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
    crashes: CRASHES_SCHEMA.optional(),
  }),
] as const;
