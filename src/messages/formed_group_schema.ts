/**
 * Schemas that validate the received messages of a formed group.
 *
 * @module
 */
import * as z from "zod";
import { MAP_SCHEMA } from "./group_schema.ts";

const COUNT = z.number().int().nonnegative();
/** Experts or counts of each layer. */
const NUMBERS_BY_LAYER = z.array(z.array(COUNT));
const AGE_MS = z.number().nonnegative();
const PASS = { epoch: COUNT, pass: COUNT };

const STATE_SCHEMA = z.object({
  group: z.string(),
  epoch: COUNT,
  rank: COUNT,
  ranks: COUNT,
  isOpen: z.boolean(),
  pass: COUNT,
  activeVersion: COUNT,
  preparedVersion: COUNT.optional(),
  armed: z.object({ version: COUNT, pass: COUNT }).optional(),
  heldPass: COUNT.optional(),
  running: COUNT,
  queued: COUNT,
  pace: z.number().positive(),
});

const ORDER_SCHEMA = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("prepare"),
    epoch: COUNT,
    version: COUNT,
    map: MAP_SCHEMA,
  }),
  z.object({ kind: z.literal("hold"), ...PASS }),
  z.object({ kind: z.literal("arm"), ...PASS, version: COUNT }),
  z.object({ kind: z.literal("go"), ...PASS }),
  z.object({ kind: z.literal("fence"), epoch: COUNT, version: COUNT }),
]);

/** Schemas of all messages of a formed group. */
export const FORMED_GROUP_SCHEMAS = [
  z.object({
    kind: z.literal("rank_order"),
    orderId: COUNT,
    order: ORDER_SCHEMA,
  }),
  z.object({ kind: z.literal("map_base"), map: MAP_SCHEMA }),
  z.object({
    kind: z.literal("map_change"),
    orderId: COUNT,
    epoch: COUNT,
    version: COUNT,
    rows: z.object({
      layers: z.array(COUNT),
      ranks: z.array(COUNT),
      dropped: z.array(z.array(COUNT)),
      gained: z.array(z.array(COUNT)),
    }),
    checksum: z.string(),
  }),
  z.object({
    kind: z.literal("rank_check"),
    orderId: COUNT,
    order: ORDER_SCHEMA,
  }),
  z.object({
    kind: z.literal("group_load"),
    pool: z.string(),
    group: z.string(),
    isOpen: z.boolean(),
    ageMs: AGE_MS,
    passMs: z.number().positive().optional(),
    epoch: COUNT.optional(),
    engineAddresses: z.array(z.string()).optional(),
    running: z.array(COUNT),
    queued: z.array(COUNT),
    pacePercents: z.array(COUNT),
  }),
  z.object({
    kind: z.literal("group_sight"),
    group: z.string(),
    isOpen: z.boolean(),
    ageMs: AGE_MS,
  }),
  z.object({
    kind: z.literal("rank_query"),
    withExperts: z.boolean(),
    withCounts: z.boolean(),
    knownCounts: COUNT.optional(),
  }),
  z.object({
    kind: z.literal("rank_report"),
    state: STATE_SCHEMA,
    orderId: COUNT.optional(),
    isDone: z.boolean().optional(),
    counts: z.object({
      serial: COUNT,
      since: COUNT.optional(),
      counts: NUMBERS_BY_LAYER,
    }).optional(),
    experts: NUMBERS_BY_LAYER.optional(),
  }),
] as const;
