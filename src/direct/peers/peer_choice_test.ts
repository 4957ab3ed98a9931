import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../../core/random_source.ts";
import { choosePeers, PEERS_IN_ROUND, tryChooseReader } from "./peer_choice.ts";

const OWN = "10.0.0.1:1";

function createAddresses(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}:1`);
}

describe("choosePeers", () => {
  it("never draws the asker, and nobody twice", () => {
    const listed = createAddresses(6);
    const random = new RandomSource(7);
    for (let round = 0; round < 50; round++) {
      const peers = choosePeers(
        { listed, seeds: listed, ownAddress: OWN },
        random,
      );
      assert.equal(peers.length, PEERS_IN_ROUND);
      assert.equal(new Set(peers).size, PEERS_IN_ROUND);
      assert.ok(!peers.includes(OWN));
    }
  });

  it("reaches every listed entry over some rounds", () => {
    const listed = createAddresses(12);
    const random = new RandomSource(7);
    const seen = new Set<string>();
    for (let round = 0; round < 30; round++) {
      const peers = choosePeers({ listed, seeds: [], ownAddress: OWN }, random);
      for (const peer of peers) seen.add(peer);
    }
    assert.equal(seen.size, listed.length - 1);
  });

  it("asks the seeds while no list was read", () => {
    const seeds = createAddresses(3);
    const random = new RandomSource(7);
    assert.deepEqual(
      choosePeers({ listed: [], seeds, ownAddress: OWN }, random),
      seeds.slice(1),
    );
  });
});

describe("tryChooseReader", () => {
  const entries = ["b", "a", "c"].map((name) => ({
    name,
    address: `${name}:1`,
    failureDomain: name === "a" ? "far" : "near",
  }));
  const [first, , last] = entries;

  it("is the same one for all entries of a failure domain", () => {
    assert.ok(first !== undefined && last !== undefined);
    assert.equal(tryChooseReader(entries, last)?.name, "b");
    assert.equal(tryChooseReader([...entries].reverse(), last)?.name, "b");
  });

  it("is nobody else for the reader, and nobody while none is listed", () => {
    assert.ok(first !== undefined);
    assert.equal(tryChooseReader(entries, first), undefined);
    assert.equal(tryChooseReader([], first), undefined);
  });
});
