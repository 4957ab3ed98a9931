import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BodyCache, BodySource } from "./body_source.ts";
import { hashText } from "./tree.ts";

/** A source that counts its reads. */
class CountingSource extends BodySource {
  singleReads = 0;
  bulkReads = 0;
  readonly #bodies: ReadonlyMap<string, string>;
  readonly #supportsBulkReads: boolean;

  constructor(bodies: readonly string[], supportsBulkReads: boolean) {
    super();
    this.#bodies = new Map(bodies.map((body) => [hashText(body), body]));
    this.#supportsBulkReads = supportsBulkReads;
  }

  override tryRead(hash: string): Promise<string | undefined> {
    this.singleReads++;
    return Promise.resolve(this.#bodies.get(hash));
  }

  override readMany(hashes: readonly string[]): Promise<readonly string[]> {
    if (!this.#supportsBulkReads) return super.readMany(hashes);
    this.bulkReads++;
    const bodies = hashes.flatMap((hash) => this.#bodies.get(hash) ?? []);
    return Promise.resolve(bodies);
  }
}

const BODIES = ["one", "two", "three", "four"];
const HASHES = BODIES.map(hashText);

describe("body cache", () => {
  it("reads many bodies from peers before it reads single bodies", async () => {
    const service = new CountingSource(BODIES, false);
    const peers = new CountingSource(BODIES.slice(0, 3), true);
    const cache = new BodyCache();
    cache.addSource(service);
    cache.addSource(peers);
    await cache.prefetch(HASHES);
    const read = await Promise.all(HASHES.map((hash) => cache.tryRead(hash)));
    assert.deepEqual(read, BODIES);
    assert.deepEqual(
      [service.singleReads, peers.bulkReads, peers.singleReads],
      [1, 1, 0],
    );
  });

  it("rejects a body that does not match its hash", async () => {
    const cache = new BodyCache();
    const faultySource = new CountingSource([], false);
    faultySource.tryRead = () => Promise.resolve("another body");
    cache.addSource(faultySource);
    assert.equal(await cache.tryRead(hashText("one")), undefined);
    assert.equal(cache.mismatches, 1);
  });
});
