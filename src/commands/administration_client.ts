/**
 * Calls the administration API of an entry.
 *
 * @module
 */
import { request } from "undici";

/** Response of the administration API. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Options of an {@link AdministrationClient}. */
export interface AdministrationClientOptions {
  /** Host and port of an entry's administration address. */
  readonly address: string;
  readonly token: string;
}

/** Thrown when the entry does not answer. */
export class EntryUnreachableError extends Error {
  override readonly name = "EntryUnreachableError";
}

const CALL_TIMEOUT_MS = 15_000;

/** Calls the administration API of an entry. */
export class AdministrationClient {
  readonly #options: AdministrationClientOptions;

  /** Creates a client that connects on the first call. */
  constructor(options: AdministrationClientOptions) {
    this.#options = options;
  }

  /** Sends a GET request. */
  async get(path: string): Promise<AdministrationAnswer> {
    return await this.#call("GET", path);
  }

  /** Sends a PUT request with a JSON body. */
  async put(path: string, body: object): Promise<AdministrationAnswer> {
    return await this.#call("PUT", path, JSON.stringify(body));
  }

  async #call(
    method: "GET" | "PUT",
    path: string,
    body?: string,
  ): Promise<AdministrationAnswer> {
    const { address, token } = this.#options;
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          "content-type": "application/json",
        },
        body,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const parsed = await response.body.json();
      return {
        status: response.statusCode,
        body: parsed as Readonly<Record<string, unknown>>,
      };
    } catch (error) {
      throw new EntryUnreachableError(`${address}: ${error}`);
    }
  }
}
