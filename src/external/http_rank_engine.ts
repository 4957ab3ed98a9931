/**
 * A rank's engine that is spoken to by HTTP with JSON.
 *
 * @module
 */
import { request } from "undici";
import * as z from "zod";
import { ENGINE_STATE_SCHEMA } from "../messages/group_schema.ts";
import type {
  EngineOrder,
  EngineState,
  RankLoad,
} from "../messages/group_types.ts";
import { EngineUnavailableError, RankEngine } from "./rank_engine.ts";

const CALL_LIMIT_MS = 2000;
/** Loading a map takes as long as the weight store takes. */
const ORDER_LIMIT_MS = 120_000;

const LOAD_SCHEMA: z.ZodType<RankLoad> = z.object({
  tokens: z.array(z.array(z.number())),
  slowdown: z.number(),
});

/** A rank's engine that is spoken to by HTTP with JSON. */
export class HttpRankEngine extends RankEngine {
  readonly #address: string;

  /** Takes the host and port of the engine. */
  constructor(address: string) {
    super();
    this.#address = address;
  }

  override async readState(): Promise<EngineState> {
    return ENGINE_STATE_SCHEMA.parse(await this.#get("/group/state"));
  }

  override async readLoad(): Promise<RankLoad> {
    return LOAD_SCHEMA.parse(await this.#get("/group/load"));
  }

  override async carryOut(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState> {
    const answer = await this.#call("/group/orders", {
      method: "POST",
      body: JSON.stringify({ order, fencingNumber }),
      signal: AbortSignal.timeout(ORDER_LIMIT_MS),
    });
    return ENGINE_STATE_SCHEMA.parse(answer);
  }

  async #get(path: string): Promise<unknown> {
    const signal = AbortSignal.timeout(CALL_LIMIT_MS);
    return await this.#call(path, { method: "GET", signal });
  }

  async #call(
    path: string,
    options: {
      readonly method: "GET" | "POST";
      readonly body?: string;
      readonly signal: AbortSignal;
    },
  ): Promise<unknown> {
    try {
      const response = await request(`http://${this.#address}${path}`, options);
      if (response.statusCode === 200) return await response.body.json();
      await response.body.dump();
      throw new Error(`Status ${response.statusCode}`);
    } catch (error) {
      throw new EngineUnavailableError(String(error));
    }
  }
}
