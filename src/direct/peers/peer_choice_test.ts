import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../../core/random_source.ts";
import {
  choosePeers,
  listReaderCandidates,
  PEERS_PER_ROUND,
} from "./peer_choice.ts";
import { createSocketAddress } from "../../testing/socket_addresses.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

const OWN = createSocketAddress("10.0.0.1:1");

function createAddresses(count: number): readonly SocketAddress[] {
  return Array.from(
    { length: count },
    (_, index) => createSocketAddress(`10.0.0.${index + 1}:1`),
  );
}

describe("choosePeers", () => {
  it("chooses neither the entry itself nor any entry twice", () => {
    const listed = createAddresses(6);
    const random = new RandomSource(7);
    for (let round = 0; round < 50; round++) {
      const peers = choosePeers(
        { listed, seeds: listed, ownAddress: OWN },
        random,
      );
      assert.equal(peers.length, PEERS_PER_ROUND);
      assert.equal(new Set(peers).size, PEERS_PER_ROUND);
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

  it("chooses the seeds until a list was read", () => {
    const seeds = createAddresses(3);
    const random = new RandomSource(7);
    assert.deepEqual(
      choosePeers({ listed: [], seeds, ownAddress: OWN }, random),
      seeds.slice(1),
    );
  });
});

describe("listReaderCandidates", () => {
  const entries = ["a-1", "a-2", "b-1", "b-2", "c-1"].map((name) => ({
    name,
    address: createSocketAddress(`${name}:1`),
    failureDomain: name.slice(0, 1),
  }));

  function candidatesOf(name: string): readonly string[] {
    const self = entries.find((one) => one.name === name);
    assert.ok(self !== undefined);
    return listReaderCandidates([...entries].reverse(), self).addresses;
  }

  it("are those of the failure domain first, then the first of others", () => {
    assert.deepEqual(candidatesOf("b-2"), ["b-1:1", "a-1:1"]);
    assert.deepEqual(candidatesOf("b-1"), ["a-1:1"]);
    assert.deepEqual(candidatesOf("c-1"), ["a-1:1", "b-1:1"]);
  });

  it("are none for the first of all entries", () => {
    assert.deepEqual(candidatesOf("a-1"), []);
  });

  it("never query each other", () => {
    for (const { name, address } of entries) {
      for (const candidate of candidatesOf(name)) {
        const nextCandidates = candidatesOf(candidate.slice(0, -2));
        assert.ok(
          !nextCandidates.includes(address),
          `${name} and ${candidate}`,
        );
      }
    }
  });

  it("include whether the entry is the first of its failure domain", () => {
    const firsts = entries.filter((self) =>
      listReaderCandidates(entries, self).isFirstOfDomain
    );
    assert.deepEqual(firsts.map(({ name }) => name), ["a-1", "b-1", "c-1"]);
  });
});
