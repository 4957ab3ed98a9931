/**
 * A rank's engine that is accessed with JSON over HTTP.
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

const CALL_TIMEOUT_MS = 2000;
/** Includes the time to load the weights of a map from the weight store. */
const ORDER_TIMEOUT_MS = 120_000;

const LOAD_SCHEMA: z.ZodType<RankLoad> = z.object({
  tokens: z.array(z.array(z.number())),
  slowdown: z.number(),
});

/** A rank's engine that is accessed with JSON over HTTP. */
export class HttpRankEngine extends RankEngine {
  readonly #address: string;

  /** Creates a client for the engine at `address`, a host and port. */
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

  override async execute(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState> {
    const answer = await this.#call("/group/orders", {
      method: "POST",
      body: JSON.stringify({ order, fencingNumber }),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    return ENGINE_STATE_SCHEMA.parse(answer);
  }

  async #get(path: string): Promise<unknown> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
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
