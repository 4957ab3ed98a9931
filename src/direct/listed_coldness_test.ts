/**
 * Guards against misreading how long a back end stays cold. Registrations may be listed
 * repeatedly without being rewritten, and may contain values that cannot be read.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err } from "ts-results-es";
import type { ColdnessReport } from "../messages/back_end_instance.ts";
import { StoreFormat } from "../external/operator_settings.ts";
import { createInstance } from "../testing/fixtures.ts";
import { ListedColdness } from "./listed_coldness.ts";

/** Reads values as milliseconds; an empty value says nothing, any other is unreadable. */
class NumberFormat extends StoreFormat {
  override readonly settingsKey = "settings";
  override readonly backEndPrefix = "";

  override readOutline() {
    return Err([]);
  }

  override tryReadBackEnd() {
    return undefined;
  }

  override readColdness(text: string): ColdnessReport {
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

  /** Marks a back end whose registration has a value and a revision. */
  mark(value: string, revision: number, now: number, pool = "confirm") {
    const item = { key: "i-1", value, revision, createdRevision: 1 };
    return this.#coldness.mark(createInstance("i-1", { pool }), item, now);
  }
}

describe("coldness in a registration", () => {
  // Guards against a registration that is never rewritten and so keeps its server cold
  // forever.
  it("lasts for the stated time after that revision was first read", () => {
    const fixture = new ColdnessFixture();
    assert.equal(fixture.mark("900", 1, 0).isCold, true);
    assert.equal(fixture.mark("900", 1, 899).isCold, true);
    assert.equal(fixture.mark("900", 1, 900).isCold, false);
    assert.equal(fixture.mark("900", 2, 1000).isCold, true);
    assert.equal(fixture.mark("0", 3, 1100).isCold, false);
  });

  // Guards against a missing or invalid value that starts or ends coldness, or fills the
  // log.
  it("is ignored where it cannot be read, and reported once", () => {
    const fixture = new ColdnessFixture();
    for (const revision of [1, 2, 3]) {
      assert.equal(fixture.mark("soon", revision, 0).isCold, undefined);
    }
    assert.equal(fixture.mark("", 4, 0).isCold, undefined);
    assert.deepEqual(fixture.unreadable, ["soon"]);
  });

  // Guards against lists that differ, and are sent again, where no back end is ever cold.
  it("is not read in pools whose back ends are never cold", () => {
    const fixture = new ColdnessFixture();
    assert.ok(!("isCold" in fixture.mark("900", 1, 0, "other")));
    fixture.mark("soon", 2, 0, "other");
    assert.deepEqual(fixture.unreadable, []);
  });
});
