/**
 * A rank's engine that is accessed with JSON over HTTP.
 *
 * @module
 */
import * as z from "zod";
import { ENGINE_STATE_SCHEMA } from "../messages/group_schema.ts";
import type {
  EngineOrder,
  EngineState,
  RankLoad,
} from "../messages/group_types.ts";
import { type JsonCall, JsonService } from "./json_service.ts";
import { EngineUnavailableError, RankEngine } from "./rank_engine.ts";

const CALL_TIMEOUT_MS = 2000;
/** Includes the time to load the weights of a map from the weight store. */
const ORDER_TIMEOUT_MS = 120_000;

const LOAD_SCHEMA: z.ZodType<RankLoad> = z.object({
  tokens: z.array(z.array(z.number())),
  slowdown: z.number(),
});

/** A rank's engine that is accessed with JSON over HTTP. */
export class HttpRankEngine extends RankEngine {
  readonly #service: JsonService;

  /** Creates a client for the engine at `address`, a host and port. */
  constructor(address: string) {
    super();
    this.#service = new JsonService(address);
  }

  override async readState(): Promise<EngineState> {
    return ENGINE_STATE_SCHEMA.parse(await this.#get("/group/state"));
  }

  override async readLoad(): Promise<RankLoad> {
    return LOAD_SCHEMA.parse(await this.#get("/group/load"));
  }

  override async execute(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState> {
    const answer = await this.#call({
      method: "POST",
      path: "/group/orders",
      body: { order, fencingNumber },
      limitMs: ORDER_TIMEOUT_MS,
    });
    return ENGINE_STATE_SCHEMA.parse(answer);
  }

  async #get(path: string): Promise<unknown> {
    return await this.#call({ path, limitMs: CALL_TIMEOUT_MS });
  }

  async #call(call: JsonCall): Promise<unknown> {
    try {
      const { status, text } = await this.#service.call(call);
      if (status === 200) return JSON.parse(text);
      throw new Error(`Status ${status}`);
    } catch (error) {
      throw new EngineUnavailableError(String(error));
    }
  }
}
