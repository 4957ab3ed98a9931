import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { readNodeFlags } from "./compiled_program.ts";

describe("Node.js flags of a role in the deploy file", () => {
  it("reads the flags between the command and the program", () => {
    const text = [
      '[roles.entry]\nrun = "node --one=1 --two target/entry.cjs FILE"',
      '[roles.rank]\nrun = "node target/rank.cjs FILE"',
    ].join("\n");
    assert.deepEqual(readNodeFlags(text, "entry"), ["--one=1", "--two"]);
    assert.deepEqual(readNodeFlags(text, "rank"), []);
  });

  it("finds flags of both roles in the deploy file", () => {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    assert.ok(readNodeFlags(deployFile, "entry").length > 0);
    assert.ok(readNodeFlags(deployFile, "rank").length > 0);
  });
});
