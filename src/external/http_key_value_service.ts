/**
 * A key-value service that is accessed with JSON over HTTP.
 *
 * @module
 */
import * as z from "zod";
import {
  type KeyValueEntry,
  KeyValueService,
  KeyValueUnavailableError,
  type SwapOptions,
  type SwapOutcome,
  type WatchOptions,
} from "./key_value_service.ts";
import type { CompleteAnswer } from "./fetch_answer.ts";
import { type JsonCall, JsonService } from "./json_service.ts";

const CALL_TIMEOUT_MS = 3000;
/** Milliseconds for which a watch may wait at the service. */
const WATCH_WAIT_MS = 20_000;

const ENTRY_SCHEMA = z.object({ value: z.string(), revision: z.number() });
const REVISION_SCHEMA = z.object({ revision: z.number() });

/** A key-value service that is accessed with JSON over HTTP. */
export class HttpKeyValueService extends KeyValueService {
  readonly #service: JsonService;

  /** Creates a client for the service at `address`, a host and port. */
  constructor(address: string) {
    super();
    this.#service = new JsonService(address);
  }

  override async tryRead(key: string): Promise<KeyValueEntry | undefined> {
    return await this.#read({ path: getPath(key), limitMs: CALL_TIMEOUT_MS });
  }

  override async watch(
    key: string,
    options: WatchOptions,
  ): Promise<KeyValueEntry | undefined> {
    const query = `?after=${options.knownRevision}&waitMs=${WATCH_WAIT_MS}`;
    return await this.#read({
      path: getPath(key) + query,
      limitMs: WATCH_WAIT_MS + CALL_TIMEOUT_MS,
      signal: options.signal,
    });
  }

  override async compareAndSwap(
    key: string,
    options: SwapOptions,
  ): Promise<SwapOutcome> {
    try {
      return await this.#swap(key, options);
    } catch (error) {
      return { kind: "unknown", cause: String(error) };
    }
  }

  async #swap(key: string, options: SwapOptions): Promise<SwapOutcome> {
    const { status, text } = await this.#service.call({
      method: "PUT",
      path: getPath(key),
      body: options,
      limitMs: CALL_TIMEOUT_MS,
    });
    if (status === 200) {
      const { revision } = REVISION_SCHEMA.parse(JSON.parse(text));
      return { kind: "swapped", revision };
    }
    if (status === 409) {
      const { revision } = REVISION_SCHEMA.parse(JSON.parse(text));
      return { kind: "conflict", revision };
    }
    return { kind: "unknown", cause: `Status ${status}` };
  }

  async #read(call: JsonCall): Promise<KeyValueEntry | undefined> {
    try {
      return readEntry(await this.#service.call(call));
    } catch (error) {
      throw new KeyValueUnavailableError(String(error));
    }
  }
}

function getPath(key: string): string {
  return `/v1/values/${encodeURIComponent(key)}`;
}

function readEntry(
  { status, text }: CompleteAnswer,
): KeyValueEntry | undefined {
  if (status === 404) return undefined;
  if (status !== 200) throw new KeyValueUnavailableError(`Status ${status}`);
  return ENTRY_SCHEMA.parse(JSON.parse(text));
}
