/**
 * Guards against losing back ends when the store is restored from a copy some seconds
 * old. Back ends that registered after the copy was made are missing until they register
 * again, and a back end that announced that it leaves is listed as serving.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err } from "ts-results-es";
import { EventLog } from "../events/event_log.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { StoreFormat } from "../external/operator_settings.ts";
import { joinRevision } from "../external/store_revision.ts";
import type { StoreItem, StoreListing } from "../external/watched_store.ts";
import { type Directory, DirectoryFollower } from "./directory_follower.ts";
import { createInstance } from "../testing/fixtures.ts";
import { ListedStore } from "../testing/listed_store.ts";

/** Reads back ends written as JSON. */
class JsonFormat extends StoreFormat {
  override readonly settingsKey = "settings";
  override readonly backEndPrefix = "back-ends/";

  override readOutline() {
    return Err(["none here"]);
  }

  override tryReadBackEnd(_key: string, value: string): BackEndInstance {
    return JSON.parse(value);
  }
}

interface ListingFixture {
  readonly era: number;
  readonly revision: number;
  readonly serving: readonly string[];
  readonly leaving?: readonly string[];
}

function createItem(
  id: string,
  state: BackEndInstance["state"],
): StoreItem {
  const value = JSON.stringify(createInstance(id, { state }));
  return { key: `back-ends/${id}`, value, revision: 1, createdRevision: 1 };
}

function createListing(
  { era, revision, serving, leaving = [] }: ListingFixture,
): StoreListing {
  return {
    items: [
      ...serving.map((id) => createItem(id, "serving")),
      ...leaving.map((id) => createItem(id, "leaving")),
    ],
    revision: joinRevision({ era, revision }),
  };
}

/** Reads the given lists in order, and returns the resulting directory. */
async function follow(
  listings: readonly ListingFixture[],
): Promise<{ readonly directory?: Directory; readonly restoreCount: number }> {
  const store = new ListedStore(listings.map(createListing));
  let restoreCount = 0;
  const follower = new DirectoryFollower({
    store,
    format: new JsonFormat(),
    log: new EventLog({ role: "entry", processName: "test" }),
    isKnownPool: () => true,
    onDirectory: () => undefined,
    onListed: () => undefined,
    onListFailed: () => undefined,
    onStoreRestored: () => restoreCount++,
  });
  for (const _ of listings) await follower.list();
  return { directory: follower.directory, restoreCount };
}

function idsOf(
  directory: Directory | undefined,
  state: BackEndInstance["state"],
): readonly string[] {
  const instances = directory?.instances ?? [];
  return instances.filter((one) => one.state === state).map(({ id }) => id);
}

describe("a list from a store that was restored from an older copy", () => {
  it("is newer than a list from before the restore, whatever its revision", async () => {
    const { directory, restoreCount } = await follow([
      { era: 1, revision: 900, serving: ["one"] },
      { era: 2, revision: 300, serving: ["one", "two"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one", "two"]);
    assert.equal(restoreCount, 1);
  });

  it("keeps a back end that has not registered again yet", async () => {
    const { directory } = await follow([
      { era: 1, revision: 900, serving: ["one", "two"] },
      { era: 2, revision: 300, serving: ["one"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one", "two"]);
  });

  it("does not revert a leaving back end to serving", async () => {
    const { directory } = await follow([
      { era: 1, revision: 900, serving: ["one"], leaving: ["two"] },
      { era: 2, revision: 300, serving: ["one", "two"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one"]);
    assert.deepEqual(idsOf(directory, "leaving"), ["two"]);
  });

  it("supersedes a late list of the previous era", async () => {
    const { directory, restoreCount } = await follow([
      { era: 2, revision: 300, serving: ["two"] },
      { era: 1, revision: 900, serving: ["one"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["two"]);
    assert.equal(restoreCount, 0);
  });
});

// Guards against a process that ends, as no caller waits for the outcome of a listing.
describe("an exception while a list of back ends is applied", () => {
  it("is logged, and the next list is applied", async () => {
    const listing = { era: 0, revision: 5, serving: ["one"] };
    const store = new ListedStore([
      createListing(listing),
      createListing({ ...listing, revision: 6, serving: ["one", "two"] }),
    ]);
    const log = new EventLog({ role: "entry", processName: "test" });
    const applied: number[] = [];
    const follower = new DirectoryFollower({
      store,
      format: new JsonFormat(),
      log,
      isKnownPool: () => true,
      onDirectory: ({ instances }) => {
        applied.push(instances.length);
        if (instances.length === 1) throw new TypeError("unexpected");
      },
      onListed: () => undefined,
      onListFailed: () => undefined,
      onStoreRestored: () => undefined,
    });
    await follower.list();
    await follower.list();
    assert.deepEqual(applied, [1, 2]);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});
