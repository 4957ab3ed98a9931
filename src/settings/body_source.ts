/**
 * Where bodies of the settings tree come from.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { KeyValueService } from "../external/key_value_service.ts";
import { BODY_KEY_PREFIX, hashOf } from "./tree.ts";

/** Gives bodies by their hash. */
export abstract class BodySource {
  /**
   * Those of many bodies that can be had here in few messages. Sources for
   * which many cost as much as one by one give none.
   */
  readMany(_hashes: readonly string[]): Promise<readonly string[]> {
    return Promise.resolve([]);
  }

  /** The body with this hash; undefined when it cannot be had here. */
  abstract tryRead(hash: string): Promise<string | undefined>;
}

/** Milliseconds for which a service that failed is not asked again. */
const FAILURE_PAUSE_MS = 2000;

/** Reads bodies from the platform's key-value service. */
export class KeyValueBodySource extends BodySource {
  readonly #service: KeyValueService;
  #failedAt = Number.NEGATIVE_INFINITY;

  /** Takes the service to read from. */
  constructor(service: KeyValueService) {
    super();
    this.#service = service;
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    // In a slow outage each body would wait for its time-out: ask peers.
    const now = performance.now();
    if (now - this.#failedAt < FAILURE_PAUSE_MS) return undefined;
    try {
      return (await this.#service.tryRead(BODY_KEY_PREFIX + hash))?.value;
    } catch {
      this.#failedAt = performance.now();
      return undefined;
    }
  }
}

/** Keeps bodies that were read, and refuses those that do not match. */
export class BodyCache extends BodySource {
  readonly #sources: BodySource[] = [];
  readonly #bodies = new Map<string, string>();
  #mismatches = 0;

  /** Bodies that did not match their hash and were refused. */
  get mismatches(): number {
    return this.#mismatches;
  }

  /** Asks this source too, after those added before. */
  addSource(source: BodySource): void {
    this.#sources.push(source);
  }

  /** A body that is already held. */
  tryHeld(hash: string): string | undefined {
    return this.#bodies.get(hash);
  }

  /** Keeps a body, whoever brought it; false when it is not what it says. */
  keep(hash: string, body: string): boolean {
    if (hashOf(body) !== hash) {
      this.#mismatches++;
      return false;
    }
    this.#bodies.set(hash, body);
    return true;
  }

  /** Gets what is missing of many bodies, as far as few messages can. */
  async prefetch(hashes: readonly string[]): Promise<void> {
    for (const source of this.#sources) {
      const missing = hashes.filter((hash) => !this.#bodies.has(hash));
      if (missing.length === 0) return;
      const bodies = await source.readMany(missing);
      for (const body of bodies) this.keep(hashOf(body), body);
    }
  }

  /** Drops a body, if it is held. */
  drop(hash: string | undefined): void {
    if (hash !== undefined) this.#bodies.delete(hash);
  }

  /** Drops all bodies but those named. */
  retain(hashes: ReadonlySet<string>): void {
    for (const hash of this.#bodies.keys()) {
      if (!hashes.has(hash)) this.#bodies.delete(hash);
    }
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    const held = this.#bodies.get(hash);
    if (held !== undefined) return held;
    for (const source of this.#sources) {
      const body = await source.tryRead(hash);
      if (body !== undefined && this.keep(hash, body)) return body;
    }
    return undefined;
  }
}
