/**
 * A key-value service that is accessed with JSON over HTTP.
 *
 * @module
 */
import { type Dispatcher, request } from "undici";
import * as z from "zod";
import {
  type KeyValueEntry,
  KeyValueService,
  KeyValueUnavailableError,
  type SwapOptions,
  type SwapOutcome,
  type WatchOptions,
} from "./key_value_service.ts";

const CALL_TIMEOUT_MS = 3000;
/** Milliseconds for which a watch may wait at the service. */
const WATCH_WAIT_MS = 20_000;

const ENTRY_SCHEMA = z.object({ value: z.string(), revision: z.number() });
const REVISION_SCHEMA = z.object({ revision: z.number() });

/** A key-value service that is accessed with JSON over HTTP. */
export class HttpKeyValueService extends KeyValueService {
  readonly #address: string;

  /** Creates a client for the service at `address`, a host and port. */
  constructor(address: string) {
    super();
    this.#address = address;
  }

  override async tryRead(key: string): Promise<KeyValueEntry | undefined> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    return await this.#read(this.#url(key), signal);
  }

  override async watch(
    key: string,
    options: WatchOptions,
  ): Promise<KeyValueEntry | undefined> {
    const query = `?after=${options.knownRevision}&waitMs=${WATCH_WAIT_MS}`;
    const limit = AbortSignal.timeout(WATCH_WAIT_MS + CALL_TIMEOUT_MS);
    const signal = AbortSignal.any([options.signal, limit]);
    return await this.#read(this.#url(key) + query, signal);
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
    const response = await request(this.#url(key), {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(options),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const body = await response.body.text();
    if (response.statusCode === 200) {
      const { revision } = REVISION_SCHEMA.parse(JSON.parse(body));
      return { kind: "swapped", revision };
    }
    if (response.statusCode === 409) {
      const { revision } = REVISION_SCHEMA.parse(JSON.parse(body));
      return { kind: "conflict", revision };
    }
    return { kind: "unknown", cause: `Status ${response.statusCode}` };
  }

  async #read(
    url: string,
    signal: AbortSignal,
  ): Promise<KeyValueEntry | undefined> {
    try {
      const response = await request(url, { signal });
      return await readEntry(response);
    } catch (error) {
      throw new KeyValueUnavailableError(String(error));
    }
  }

  #url(key: string): string {
    return `http://${this.#address}/v1/values/${encodeURIComponent(key)}`;
  }
}

async function readEntry(
  response: Dispatcher.ResponseData,
): Promise<KeyValueEntry | undefined> {
  const body = await response.body.text();
  if (response.statusCode === 404) return undefined;
  if (response.statusCode !== 200) {
    throw new KeyValueUnavailableError(`Status ${response.statusCode}`);
  }
  return ENTRY_SCHEMA.parse(JSON.parse(body));
}
