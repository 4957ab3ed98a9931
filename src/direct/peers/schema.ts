/**
 * Shapes of the messages between entries, checked on arrival.
 *
 * @module
 */
import * as z from "zod";

const COUNT = z.number().int().nonnegative();

const INSTANCE_SCHEMA = z.object({
  id: z.string().min(1),
  address: z.string().min(1),
  pool: z.string().min(1),
  failureDomain: z.string(),
  concurrency: COUNT,
  state: z.enum(["serving", "leaving"]),
});

/** Shapes of all messages between entries. */
export const PEER_SCHEMAS = [
  z.object({
    kind: z.literal("store_news_query"),
    settingsVersion: COUNT.optional(),
    directoryRevision: COUNT.optional(),
    isFollowing: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal("store_news"),
    settingsText: z.string().optional(),
    settingsVersion: COUNT.optional(),
    directory: z.object({
      instances: z.array(INSTANCE_SCHEMA),
      revision: COUNT,
      ageMs: z.number().nonnegative(),
    }).optional(),
  }),
] as const;
