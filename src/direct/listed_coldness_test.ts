/**
 * List entries that say for how long their back ends warm up, are listed again and again
 * without being written anew, or say what cannot be read.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err } from "ts-results-es";
import type { ColdnessWord } from "../messages/back_end_instance.ts";
import { StoreFormat } from "../external/operator_settings.ts";
import { createInstance } from "../testing/fixtures.ts";
import { ListedColdness } from "./listed_coldness.ts";

/** Values are milliseconds, nothing, or what cannot be read. */
class NumberFormat extends StoreFormat {
  override readonly settingsKey = "settings";
  override readonly backEndPrefix = "";

  override readSettings() {
    return Err([]);
  }

  override tryReadBackEnd() {
    return undefined;
  }

  override readColdness(text: string): ColdnessWord {
    if (text === "") return { kind: "untold" };
    const leftMs = Number(text);
    return Number.isFinite(leftMs)
      ? { kind: "told", leftMs }
      : { kind: "unreadable", text };
  }
}

class ColdnessFixture {
  readonly unreadable: string[] = [];
  readonly #coldness = new ListedColdness({
    format: new NumberFormat(),
    isColdPool: (pool) => pool === "confirm",
    onUnreadable: ({ text }) => this.unreadable.push(text),
  });

  /** What a list says of a back end whose entry has a value and a revision. */
  read(value: string, revision: number, now: number, pool = "confirm") {
    const item = { key: "i-1", value, revision, createdRevision: 1 };
    return this.#coldness.mark(createInstance("i-1", { pool }), item, now);
  }
}

describe("what a list entry says of coldness", () => {
  // Guards against an entry that is not written anew saying for good that its server is cold.
  it("holds for so long from when that revision was first read", () => {
    const fixture = new ColdnessFixture();
    assert.equal(fixture.read("900", 1, 0).isCold, true);
    assert.equal(fixture.read("900", 1, 899).isCold, true);
    assert.equal(fixture.read("900", 1, 900).isCold, false);
    assert.equal(fixture.read("900", 2, 1000).isCold, true);
    assert.equal(fixture.read("0", 3, 1100).isCold, false);
  });

  // Guards against an absent or absurd word starting or ending anything, or filling the log.
  it("counts as absent where it cannot be read, and is told once", () => {
    const fixture = new ColdnessFixture();
    for (const revision of [1, 2, 3]) {
      assert.equal(fixture.read("soon", revision, 0).isCold, undefined);
    }
    assert.equal(fixture.read("", 4, 0).isCold, undefined);
    assert.deepEqual(fixture.unreadable, ["soon"]);
  });

  // Guards against lists that differ, and are told again, where nothing is ever cold.
  it("is not read in pools whose back ends are never cold", () => {
    const fixture = new ColdnessFixture();
    assert.ok(!("isCold" in fixture.read("900", 1, 0, "other")));
    fixture.read("soon", 2, 0, "other");
    assert.deepEqual(fixture.unreadable, []);
  });
});
