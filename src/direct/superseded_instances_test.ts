import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { type ListedInstance, markSuperseded } from "./superseded_instances.ts";

function createListed(
  id: string,
  address: string,
  createdRevision: number,
  pool = "confirm",
): ListedInstance {
  const instance: BackEndInstance = {
    id,
    name: id,
    address,
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

describe("back ends that start anew before the entry of the one before lapses", () => {
  it("take its place", () => {
    const listed = [
      createListed("before", "one:80", 3),
      createListed("after", "one:80", 90),
      createListed("other", "two:80", 4),
    ];
    assert.deepEqual(servingOf(listed), ["after", "other"]);
  });

  it("take its place in whichever order they are listed", () => {
    const listed = [
      createListed("after", "one:80", 90),
      createListed("before", "one:80", 3),
    ];
    assert.deepEqual(servingOf(listed), ["after"]);
  });

  it("stay when no other has their address", () => {
    const listed = [
      createListed("one", "one:80", 3),
      createListed("two", "two:80", 3),
    ];
    assert.deepEqual(servingOf(listed), ["one", "two"]);
  });

  it("stay when an entry of a pool that nobody knows names their address", () => {
    const listed = [
      createListed("one", "one:80", 3),
      createListed("foreign", "one:80", 90, "unknown"),
    ];
    assert.ok(servingOf(listed).includes("one"));
  });
});
