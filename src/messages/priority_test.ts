import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSubmit } from "../testing/fixtures.ts";
import { tryParsePriority } from "./priority.ts";
import { MESSAGE_SCHEMA } from "./schema.ts";

describe("priorities", () => {
  it("are parsed from names and single digits only", () => {
    const texts = ["quick", "normal", "background", "0", "9"];
    assert.deepEqual(texts.map(tryParsePriority), [3, 5, 7, 0, 9]);
    for (const text of ["", "10", "-1", "1.5", "highest", "toString"]) {
      assert.equal(tryParsePriority(text), undefined, text);
    }
  });

  it("are accepted by name from entries of earlier versions", () => {
    const read = (priority: unknown) =>
      MESSAGE_SCHEMA.safeParse({ ...createSubmit(), priority });
    const submit = read("background").data;
    assert.equal(submit?.kind === "submit" && submit.priority, 7);
    for (const wrong of [10, -1, 0.5, "soon"]) {
      assert.equal(read(wrong).success, false, `${wrong}`);
    }
  });
});
