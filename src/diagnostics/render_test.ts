import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { describe, it } from "node:test";
import { checkDocument } from "../settings/check_document.ts";
import { checkAgainstTree } from "../settings/check_tree.ts";
import { createDocuments } from "../testing/fixtures.ts";
import { formatDiagnostics } from "./render.ts";

/**
 * Variable that, when set, makes the test overwrite the baseline with the current
 * output.
 */
const ACCEPT_VARIABLE = "LAGOONWHARF_ACCEPT_BASELINES";
const BASELINE = new URL("baselines/findings.txt", import.meta.url);

interface Case {
  readonly path: string;
  readonly text: string;
}

const SERVICE = "/organisations/a/services/s";

const CASES: readonly Case[] = [
  { path: SERVICE, text: "" },
  { path: SERVICE, text: "kind: service\npool: [\n" },
  { path: "/nowhere/a", text: "kind: organisation\n" },
  { path: "/organisations/a", text: "kind: team\nsubtree: nowhere\n" },
  { path: "/organisations/a", text: "kind: group\n" },
  {
    path: SERVICE,
    text: "kind: service\npathPrefix: a\nretryShare: 2\ncolour: red\n",
  },
  {
    path: SERVICE,
    text: "kind: service\npathPrefix: /a\npool: p\nhandover: scripts\n" +
      "defaultDeadlineMs: 5000\nlongestDeadlineMs: 4000\n",
  },
  { path: SERVICE, text: "kind: service\nkind: service\n" },
  { path: "/organisations/a", text: "kind: organisation\nweight: heavy\n" },
  {
    path: "/organisations/b/services/s",
    text: "kind: service\npathPrefix: /taken\npool: p\n",
  },
];

const OTHERS = createDocuments([
  { path: "/organisations/a", text: "kind: organisation" },
  {
    path: "/organisations/a/services/first",
    text: "kind: service\npathPrefix: /taken\npool: p",
  },
]);

function formatFindings(testCase: Case): string {
  const source = { ...testCase, file: "document.yaml" };
  const checked = checkDocument(source);
  const findings = checked.isErr()
    ? checked.error
    : checkAgainstTree({ ...source, document: checked.value }, OTHERS);
  return `=== ${testCase.path}\n${testCase.text}---\n` +
    formatDiagnostics(findings, testCase.text);
}

describe("formatted findings", () => {
  it("match the baseline", () => {
    const output = `${CASES.map(formatFindings).join("\n")}\n`;
    if (process.env[ACCEPT_VARIABLE] !== undefined) {
      writeFileSync(BASELINE, output);
    }
    assert.equal(output, readFileSync(BASELINE, "utf8"));
  });
});
