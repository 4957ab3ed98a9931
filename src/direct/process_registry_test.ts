import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import { joinRevision } from "../external/store_revision.ts";
import type { StoreListing } from "../external/watched_store.ts";
import { ListedStore } from "../testing/listed_store.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import { ProcessRegistry } from "./process_registry.ts";

function createProcess(name: string): ListedProcess {
  return { name, role: "rank", address: `${name}:1`, failureDomain: "a" };
}

function createListing(
  era: number,
  names: readonly string[],
): StoreListing {
  const items = names.map((name) => ({
    key: `lagoonwharf/processes/${name}`,
    value: JSON.stringify(createProcess(name)),
    revision: 1,
    createdRevision: 1,
  }));
  return { items, revision: joinRevision({ era, revision: 10 }) };
}

/** Names that are known once each list was read. */
async function follow(
  listings: readonly StoreListing[],
): Promise<readonly string[]> {
  let told = 0;
  const registry = new ProcessRegistry({
    store: new ListedStore(listings),
    log: new EventLog({ role: "rank", processName: "test" }),
    self: createProcess("self"),
    follows: true,
    onProcesses: () => told++,
  });
  registry.follow();
  await waitUntil("all lists are read", () => told === listings.length);
  registry.stop().catch(() => {/* Nothing was listed by this one. */});
  return registry.processes.map(({ name }) => name);
}

describe("the list of processes", () => {
  it("keeps those that a store lacks which came back from an older copy", async () => {
    const names = await follow([
      createListing(1, ["one", "two"]),
      createListing(2, ["one", "three"]),
    ]);
    assert.deepEqual(names, ["one", "two", "three"]);
  });

  it("drops those that are missing otherwise", async () => {
    const names = await follow([
      createListing(1, ["one", "two"]),
      createListing(1, ["one"]),
    ]);
    assert.deepEqual(names, ["one"]);
  });
});
