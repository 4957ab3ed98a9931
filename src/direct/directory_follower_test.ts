/**
 * The pattern that these tests tell of: the store comes back from a copy some seconds old.
 * Back ends that registered since are missing until they write again, and one that said that
 * it leaves is listed as if it had not.
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

/** Reads back ends that are written as JSON. */
class JsonFormat extends StoreFormat {
  override readonly settingsKey = "settings";
  override readonly backEndPrefix = "back-ends/";

  override readSettings() {
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

/** What is known after each list was read, one after the other. */
async function follow(
  listings: readonly ListingFixture[],
): Promise<{ readonly directory?: Directory; readonly wentBack: number }> {
  const store = new ListedStore(listings.map(createListing));
  let wentBack = 0;
  const follower = new DirectoryFollower({
    store,
    format: new JsonFormat(),
    log: new EventLog({ role: "entry", processName: "test" }),
    isKnownPool: () => true,
    onDirectory: () => undefined,
    onListed: () => undefined,
    onUnanswered: () => undefined,
    onWentBack: () => wentBack++,
  });
  for (const _ of listings) await follower.list();
  return { directory: follower.directory, wentBack };
}

function idsOf(
  directory: Directory | undefined,
  state: BackEndInstance["state"],
): readonly string[] {
  const instances = directory?.instances ?? [];
  return instances.filter((one) => one.state === state).map(({ id }) => id);
}

describe("a list of a store that came back from an older copy", () => {
  it("is newer than one of before, whatever its revision", async () => {
    const { directory, wentBack } = await follow([
      { era: 1, revision: 900, serving: ["one"] },
      { era: 2, revision: 300, serving: ["one", "two"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one", "two"]);
    assert.equal(wentBack, 1);
  });

  it("takes no back end for gone that has yet to write again", async () => {
    const { directory } = await follow([
      { era: 1, revision: 900, serving: ["one", "two"] },
      { era: 2, revision: 300, serving: ["one"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one", "two"]);
  });

  it("does not take back that a back end leaves", async () => {
    const { directory } = await follow([
      { era: 1, revision: 900, serving: ["one"], leaving: ["two"] },
      { era: 2, revision: 300, serving: ["one", "two"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["one"]);
    assert.deepEqual(idsOf(directory, "leaving"), ["two"]);
  });

  it("goes before one of the era before that comes late", async () => {
    const { directory, wentBack } = await follow([
      { era: 2, revision: 300, serving: ["two"] },
      { era: 1, revision: 900, serving: ["one"] },
    ]);
    assert.deepEqual(idsOf(directory, "serving"), ["two"]);
    assert.equal(wentBack, 0);
  });
});
