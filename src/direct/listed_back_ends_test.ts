import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err, type Result } from "ts-results-es";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import {
  type SettingsOutline,
  StoreFormat,
} from "../external/operator_settings.ts";
import type { StoreItem } from "../external/watched_store.ts";
import { ListedBackEnds } from "./listed_back_ends.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

/** Reads values as start times; any other value is unreadable. */
class NumberFormat extends StoreFormat {
  override readonly settingsKey = "settings";
  override readonly backEndPrefix = "";

  override readOutline(): Result<SettingsOutline, readonly string[]> {
    return Err([]);
  }

  override tryReadBackEnd(
    key: string,
    text: string,
  ): BackEndInstance | undefined {
    const startedAt = Number(text);
    if (!Number.isFinite(startedAt)) return undefined;
    return {
      id: `${key}@${startedAt}`,
      name: key,
      startedAt,
      address: createSocketAddress(`${key}:80`),
      pool: "confirm",
      failureDomain: "a",
      concurrency: 4,
      state: "serving",
    };
  }
}

function createItem(key: string, value: string, revision = 1): StoreItem {
  return { key, value, revision, createdRevision: 1 };
}

class BackEndsFixture {
  readonly unreadable: string[] = [];
  readonly backEnds = new ListedBackEnds({
    format: new NumberFormat(),
    onUnreadable: ({ key }) => this.unreadable.push(key),
    isKnownPool: () => true,
  });

  read(...items: readonly StoreItem[]): readonly string[] {
    return this.backEnds.read(items, 0).map(({ id }) => id);
  }
}

describe("registrations of back ends", () => {
  it("distinguish incarnations of the same name", () => {
    const fixture = new BackEndsFixture();
    assert.deepEqual(fixture.read(createItem("i-1", "100")), ["i-1@100"]);
    assert.deepEqual(fixture.read(createItem("i-1", "250")), ["i-1@250"]);
  });

  it("are not replaced by a late write of the previous incarnation", () => {
    const fixture = new BackEndsFixture();
    fixture.read(createItem("i-1", "250"));
    assert.deepEqual(fixture.read(createItem("i-1", "100")), ["i-1@250"]);
  });

  it("are read despite one that cannot be read, which is reported once", () => {
    const fixture = new BackEndsFixture();
    for (let round = 0; round < 3; round++) {
      const read = fixture.read(
        createItem("i-1", "100"),
        createItem("i-2", "not a number"),
      );
      assert.deepEqual(read, ["i-1@100"]);
    }
    assert.deepEqual(fixture.unreadable, ["i-2"]);
  });
});
