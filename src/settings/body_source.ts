/**
 * Sources of the bodies of the settings tree, and their cache.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { KeyValueService } from "../external/key_value_service.ts";
import { BODY_KEY_PREFIX, hashText } from "./tree.ts";

/** Reads bodies by their hash. */
export abstract class BodySource {
  /**
   * Reads those of many bodies that the source can return in few messages. Sources
   * without bulk reads return none.
   */
  readMany(_hashes: readonly string[]): Promise<readonly string[]> {
    return Promise.resolve([]);
  }

  /**
   * Reads the body with this hash; undefined if it is not available from this source.
   */
  abstract tryRead(hash: string): Promise<string | undefined>;
}

/** Milliseconds for which the service is not called again after a failure. */
const FAILURE_BACKOFF_MS = 2000;

/** Reads bodies from the platform's key-value service. */
export class KeyValueBodySource extends BodySource {
  readonly #service: KeyValueService;
  #failedAt = Number.NEGATIVE_INFINITY;

  /** Creates a source that reads from `service`. */
  constructor(service: KeyValueService) {
    super();
    this.#service = service;
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    // During an outage each read would take until its time-out; bodies are read from
    // peers then.
    const now = performance.now();
    if (now - this.#failedAt < FAILURE_BACKOFF_MS) return undefined;
    try {
      return (await this.#service.tryRead(BODY_KEY_PREFIX + hash))?.value;
    } catch {
      this.#failedAt = performance.now();
      return undefined;
    }
  }
}

/** Caches bodies that were read, and rejects those that do not match their hash. */
export class BodyCache extends BodySource {
  readonly #sources: BodySource[] = [];
  readonly #bodies = new Map<string, string>();
  #mismatches = 0;

  /** Number of bodies that were rejected because they did not match their hash. */
  get mismatches(): number {
    return this.#mismatches;
  }

  /** Adds a source, which is read after those added before. */
  addSource(source: BodySource): void {
    this.#sources.push(source);
  }

  /** Returns a cached body; undefined if it is not cached. */
  tryGetCached(hash: string): string | undefined {
    return this.#bodies.get(hash);
  }

  /** Caches a body; false if it does not match its hash. */
  tryAdd(hash: string, body: string): boolean {
    if (hashText(body) !== hash) {
      this.#mismatches++;
      return false;
    }
    this.#bodies.set(hash, body);
    return true;
  }

  /** Reads bodies that are not cached from sources with bulk reads. */
  async prefetch(hashes: readonly string[]): Promise<void> {
    for (const source of this.#sources) {
      const missing = hashes.filter((hash) => !this.#bodies.has(hash));
      if (missing.length === 0) return;
      const bodies = await source.readMany(missing);
      for (const body of bodies) this.tryAdd(hashText(body), body);
    }
  }

  /** Removes a body from the cache. */
  remove(hash: string | undefined): void {
    if (hash !== undefined) this.#bodies.delete(hash);
  }

  /** Removes all bodies except those with the given hashes. */
  retain(hashes: ReadonlySet<string>): void {
    for (const hash of this.#bodies.keys()) {
      if (!hashes.has(hash)) this.#bodies.delete(hash);
    }
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    const cached = this.#bodies.get(hash);
    if (cached !== undefined) return cached;
    for (const source of this.#sources) {
      const body = await source.tryRead(hash);
      if (body !== undefined && this.tryAdd(hash, body)) return body;
    }
    return undefined;
  }
}
