import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { readFlags } from "./compiled_program.ts";

describe("flags of a role in the deploy file", () => {
  it("are those between the command and its program", () => {
    const text = [
      '[roles.entry]\nrun = "node --one=1 --two target/entry.cjs FILE"',
      '[roles.rank]\nrun = "node target/rank.cjs FILE"',
    ].join("\n");
    assert.deepEqual(readFlags(text, "entry"), ["--one=1", "--two"]);
    assert.deepEqual(readFlags(text, "rank"), []);
  });

  it("are found in the file that is deployed", () => {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    assert.ok(readFlags(deployFile, "entry").length > 0);
    assert.ok(readFlags(deployFile, "rank").length > 0);
  });
});
