import assert from "node:assert/strict";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { readNodeFlags } from "./compiled_program.ts";
import { buildRoleProgram } from "./role_program.ts";

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

// Guards against settings that the program rejects when it is started at the build: what
// a start needs was then compiled at each start, which only a line of the build told.
describe("the program of a role", () => {
  for (const role of ["entry", "rank"] as const) {
    it(`of ${role} is compiled ahead`, async ({ mock }) => {
      const { mock: warnings } = mock.method(console, "warn");
      const folder = mkdtempSync(join(tmpdir(), "lagoonwharf-program-"));
      await buildRoleProgram(role, folder);
      assert.ok(existsSync(join(folder, `${role}_program.compiled`)));
      assert.equal(warnings.callCount(), 0);
      rmSync(folder, { recursive: true });
    });
  }
});
