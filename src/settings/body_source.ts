/**
 * Where bodies of the settings tree come from.
 *
 * @module
 */
import type { KeyValueService } from "../platform/key_value_service.ts";
import { BODY_KEY_PREFIX, hashOf, tryParseRoot } from "./tree.ts";
import type { SettingsSnapshot } from "./types.ts";

/** Gives bodies by their hash. */
export abstract class BodySource {
  /** The body with this hash; undefined when it cannot be had here. */
  abstract tryRead(hash: string): Promise<string | undefined>;
}

/** Reads bodies from the platform's key-value service. */
export class KeyValueBodySource extends BodySource {
  readonly #service: KeyValueService;

  /** Takes the service to read from. */
  constructor(service: KeyValueService) {
    super();
    this.#service = service;
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    try {
      return (await this.#service.tryRead(BODY_KEY_PREFIX + hash))?.value;
    } catch {
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

  /** Hashes of the root, pages and records of a snapshot. */
  async reachableFrom(
    snapshot: SettingsSnapshot,
  ): Promise<ReadonlySet<string>> {
    const hashes = new Set(snapshot.records.values());
    hashes.add(snapshot.head.root);
    const rootText = await this.tryRead(snapshot.head.root);
    const root = rootText === undefined ? undefined : tryParseRoot(rootText);
    for (const page of Object.values(root?.pages ?? {})) hashes.add(page);
    return hashes;
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
