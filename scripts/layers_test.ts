import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readImports, type SourceFile, validateLayers } from "./layers.ts";

function createFile(path: string, ...specifiers: string[]): SourceFile {
  const lines = specifiers.map((specifier) =>
    `import type { A } from "${specifier}";`
  );
  return { path, text: lines.join("\n") };
}

const UPWARD = createFile("src/core/a.ts", "../entry/b.ts");

describe("layers", () => {
  it("reads imports of types, of values and re-exports over several lines", () => {
    const text = `import type { A } from "../core/a.ts";
import {
  B,
} from "./b.ts";
export { C } from "./c.ts";
import "./d.ts";
import ws from "ws";
const e = await import("./e.ts");`;
    const edges = readImports({ path: "src/entry/x.ts", text });
    assert.deepEqual(edges.map(({ to }) => to), [
      "src/core/a.ts",
      "src/entry/b.ts",
      "src/entry/c.ts",
      "src/entry/d.ts",
      "src/entry/e.ts",
    ]);
  });

  it("finds an import of a type from a higher layer", () => {
    const { upward } = validateLayers([UPWARD], []);
    assert.deepEqual(upward, [{
      from: "src/core/a.ts",
      to: "src/entry/b.ts",
    }]);
  });

  it("finds an import of a file outside src", () => {
    const file = createFile("src/entry/a.ts", "../../platform/mod.ts");
    assert.equal(validateLayers([file], []).upward.length, 1);
  });

  it("allows imports from a lower layer and within a layer", () => {
    const files = [
      createFile("src/commands/a.ts", "../core/b.ts", "../entry/c.ts"),
      createFile("src/external/a.ts", "../policy/b.ts"),
    ];
    assert.deepEqual(validateLayers(files, []).upward, []);
  });

  it("allows only the import of the file that an exception names", () => {
    const exception = {
      from: "src/core/",
      to: "src/entry/b.ts",
      reason: "test",
    };
    const other = createFile("src/core/c.ts", "../entry/d.ts");
    const { upward, unused } = validateLayers([UPWARD, other], [exception]);
    assert.deepEqual(upward, [{ from: "src/core/c.ts", to: "src/entry/d.ts" }]);
    assert.deepEqual(unused, []);
  });

  it("finds an exception that no import uses", () => {
    const exception = { from: "src/core/", to: "src/entry/b.ts", reason: "-" };
    const { unused } = validateLayers([createFile("src/core/a.ts")], [
      exception,
    ]);
    assert.deepEqual(unused, [exception]);
  });

  it("finds files that import each other through a third file", () => {
    const files = [
      createFile("src/core/a.ts", "./b.ts"),
      createFile("src/core/b.ts", "./c.ts"),
      createFile("src/core/c.ts", "./a.ts"),
      createFile("src/core/d.ts", "./a.ts", "./b.ts"),
    ];
    assert.deepEqual(validateLayers(files, []).cycles, [[
      "src/core/a.ts",
      "src/core/b.ts",
      "src/core/c.ts",
      "src/core/a.ts",
    ]]);
  });

  it("throws for a folder without a layer", () => {
    const file = createFile("src/other/a.ts", "../core/b.ts");
    assert.throws(() => validateLayers([file], []), /No layer/);
  });
});
