import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { type ListedInstance, markSuperseded } from "./superseded_instances.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

function createListed(
  id: string,
  address: string,
  createdRevision: number,
  pool = "confirm",
): ListedInstance {
  const instance: BackEndInstance = {
    id,
    name: id,
    address: createSocketAddress(address),
    pool,
    failureDomain: "a",
    concurrency: 8,
    state: "serving",
  };
  return { instance, createdRevision };
}

function servingOf(listed: readonly ListedInstance[]): readonly string[] {
  return markSuperseded(listed, (pool) => pool === "confirm")
    .filter(({ state }) => state === "serving")
    .map(({ id }) => id);
}

describe("back ends that restart before their old registration expires", () => {
  it("replace the old incarnation", () => {
    const listed = [
      createListed("before", "one:80", 3),
      createListed("after", "one:80", 90),
      createListed("other", "two:80", 4),
    ];
    assert.deepEqual(servingOf(listed), ["after", "other"]);
  });

  it("replace the old incarnation in any order of the list", () => {
    const listed = [
      createListed("after", "one:80", 90),
      createListed("before", "one:80", 3),
    ];
    assert.deepEqual(servingOf(listed), ["after"]);
  });

  it("remain when no other has their address", () => {
    const listed = [
      createListed("one", "one:80", 3),
      createListed("two", "two:80", 3),
    ];
    assert.deepEqual(servingOf(listed), ["one", "two"]);
  });

  it("remain when a registration of an unknown pool has their address", () => {
    const listed = [
      createListed("one", "one:80", 3),
      createListed("foreign", "one:80", 90, "unknown"),
    ];
    assert.ok(servingOf(listed).includes("one"));
  });
});
