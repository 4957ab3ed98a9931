import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import { joinRevision } from "../external/store_revision.ts";
import type { StoreListing } from "../external/watched_store.ts";
import { ListedStore } from "../testing/listed_store.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import { ProcessRegistry } from "./process_registry.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

function createProcess(name: string): ListedProcess {
  const address = createSocketAddress("10.0.0.1:1");
  return { name, role: "rank", address, failureDomain: "a" };
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

/** Returns the names of the processes that are known after all of the lists were read. */
async function follow(
  listings: readonly StoreListing[],
): Promise<readonly string[]> {
  let notifications = 0;
  const registry = new ProcessRegistry({
    store: new ListedStore(listings),
    log: new EventLog({ role: "rank", processName: "test" }),
    self: createProcess("self"),
    followsOthers: true,
    onProcesses: () => notifications++,
  });
  registry.follow();
  await waitUntil(
    "all lists are read",
    () => notifications === listings.length,
  );
  registry.stop().catch(() => {/* This process was never registered. */});
  return registry.processes.map(({ name }) => name);
}

describe("the list of processes", () => {
  it("keeps processes missing from a store restored from an older copy", async () => {
    const names = await follow([
      createListing(1, ["one", "two"]),
      createListing(2, ["one", "three"]),
    ]);
    assert.deepEqual(names, ["one", "two", "three"]);
  });

  it("drops processes that are missing for another reason", async () => {
    const names = await follow([
      createListing(1, ["one", "two"]),
      createListing(1, ["one"]),
    ]);
    assert.deepEqual(names, ["one"]);
  });
});
