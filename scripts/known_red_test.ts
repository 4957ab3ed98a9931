import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { judgeFailures, parseKnownRed, readFailedTests } from "./known_red.ts";

describe("parseKnownRed", () => {
  it("reads test, cause and issue", () => {
    assert.deepEqual(parseKnownRed("one | a gap | 9\n\n"), [
      { test: "one", cause: "a gap", issue: "9" },
    ]);
  });

  it("refuses a line that leaves something out", () => {
    assert.throws(() => parseKnownRed("one | a gap\n"), /test \| cause/);
  });
});

describe("judgeFailures", () => {
  const listed = parseKnownRed("one | a gap | 9\ntwo | a loop | 9\n");

  it("tells known failures, unknown ones and listed tests that pass apart", () => {
    const verdict = judgeFailures(["one", "three"], listed);
    assert.deepEqual(verdict.known.map(({ test }) => test), ["one"]);
    assert.deepEqual(verdict.unknown, ["three"]);
    assert.deepEqual(verdict.stale.map(({ test }) => test), ["two"]);
  });
});

describe("readFailedTests", () => {
  it("names tests, not the suites around them", () => {
    const tap = [
      "    not ok 1 - loses a piece",
      "      failureType: 'testCodeFailure'",
      "    ok 2 - keeps all",
      "not ok 1 - a stream",
      "  failureType: 'subtestsFailed'",
    ].join("\n");
    assert.deepEqual(readFailedTests(tap), ["loses a piece"]);
  });
});
