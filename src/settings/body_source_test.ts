import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BodyCache, BodySource } from "./body_source.ts";
import { hashOf } from "./tree.ts";

/** A source that counts how often it is asked. */
class CountingSource extends BodySource {
  single = 0;
  many = 0;
  readonly #bodies: ReadonlyMap<string, string>;
  readonly #answersMany: boolean;

  constructor(bodies: readonly string[], answersMany: boolean) {
    super();
    this.#bodies = new Map(bodies.map((body) => [hashOf(body), body]));
    this.#answersMany = answersMany;
  }

  override tryRead(hash: string): Promise<string | undefined> {
    this.single++;
    return Promise.resolve(this.#bodies.get(hash));
  }

  override readMany(hashes: readonly string[]): Promise<readonly string[]> {
    if (!this.#answersMany) return super.readMany(hashes);
    this.many++;
    const bodies = hashes.flatMap((hash) => this.#bodies.get(hash) ?? []);
    return Promise.resolve(bodies);
  }
}

const BODIES = ["one", "two", "three", "four"];
const HASHES = BODIES.map(hashOf);

describe("body cache", () => {
  it("asks peers for many at once before anybody for one", async () => {
    const service = new CountingSource(BODIES, false);
    const peers = new CountingSource(BODIES.slice(0, 3), true);
    const cache = new BodyCache();
    cache.addSource(service);
    cache.addSource(peers);
    await cache.prefetch(HASHES);
    const read = await Promise.all(HASHES.map((hash) => cache.tryRead(hash)));
    assert.deepEqual(read, BODIES);
    assert.deepEqual([service.single, peers.many, peers.single], [1, 1, 0]);
  });

  it("refuses a body that does not match its hash", async () => {
    const cache = new BodyCache();
    const liar = new CountingSource([], false);
    liar.tryRead = () => Promise.resolve("another body");
    cache.addSource(liar);
    assert.equal(await cache.tryRead(hashOf("one")), undefined);
    assert.equal(cache.mismatches, 1);
  });
});
