/**
 * Schemas that validate received messages of ranks and states of engines.
 *
 * @module
 */
import * as z from "zod";
import type {
  CoordinatorMessage,
  EngineState,
  ExpertMap,
  MemberMessage,
} from "./group_types.ts";

const COUNT = z.number().int().nonnegative();
const OPTIONAL_COUNT = COUNT.optional();
/** Schema of an expert map. */
export const MAP_SCHEMA: z.ZodType<ExpertMap> = z.object({
  layers: z.array(z.object({ experts: z.array(z.array(COUNT)) })),
});

/** Schema of the state that an engine reports. */
export const ENGINE_STATE_SCHEMA: z.ZodType<EngineState> = z.object({
  incarnation: COUNT,
  step: COUNT,
  activeVersion: COUNT,
  stagedVersion: OPTIONAL_COUNT,
  holdBefore: OPTIONAL_COUNT,
  activation: z.object({ version: COUNT, step: COUNT }).optional(),
  maps: z.array(z.object({ version: COUNT, map: MAP_SCHEMA })),
}) as z.ZodType<EngineState>;

const DECIDER = { epoch: COUNT, decider: z.string() };
const VERSIONED = { epoch: COUNT, version: COUNT };

/** Schema of the messages that rank 0 sends to a member. */
export const COORDINATOR_MESSAGE_SCHEMA: z.ZodType<CoordinatorMessage> = z
  .discriminatedUnion("kind", [
    z.object({ kind: z.literal("bind"), ...DECIDER }),
    z.object({
      kind: z.literal("stage"),
      ...DECIDER,
      version: COUNT,
      map: MAP_SCHEMA,
      assemble: OPTIONAL_COUNT,
    }),
    z.object({
      kind: z.literal("prepare"),
      ...DECIDER,
      version: COUNT,
      step: COUNT,
    }),
    z.object({
      kind: z.literal("commit"),
      ...DECIDER,
      version: COUNT,
      step: COUNT,
    }),
    z.object({ kind: z.literal("abort"), ...DECIDER, version: COUNT }),
  ]) as z.ZodType<CoordinatorMessage>;

/** Schema of the messages that a member sends to rank 0. */
export const MEMBER_MESSAGE_SCHEMA: z.ZodType<MemberMessage> = z
  .discriminatedUnion("kind", [
    z.object({
      kind: z.literal("bound"),
      epoch: COUNT,
      engine: ENGINE_STATE_SCHEMA,
    }),
    z.object({ kind: z.literal("outdated"), ...DECIDER }),
    z.object({ kind: z.literal("staged"), ...VERSIONED, step: COUNT }),
    z.object({ kind: z.literal("prepared"), ...VERSIONED, step: COUNT }),
    z.object({
      kind: z.literal("too_late"),
      ...VERSIONED,
      step: COUNT,
      engineStep: COUNT,
    }),
    z.object({ kind: z.literal("applied"), ...VERSIONED }),
    z.object({ kind: z.literal("ask"), ...VERSIONED }),
  ]);
