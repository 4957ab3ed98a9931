import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  classifyFailures,
  parseKnownRed,
  readFailedTests,
} from "./known_red.ts";

describe("parseKnownRed", () => {
  it("reads test, cause and issue", () => {
    assert.deepEqual(parseKnownRed("one | a gap | 9\n\n"), [
      { test: "one", cause: "a gap", issue: "9" },
    ]);
  });

  it("rejects a line with a missing field", () => {
    assert.throws(() => parseKnownRed("one | a gap\n"), /test \| cause/);
  });
});

describe("classifyFailures", () => {
  const listed = parseKnownRed("one | a gap | 9\ntwo | a loop | 9\n");

  it("separates known failures, unknown failures and listed tests that pass", () => {
    const classified = classifyFailures(["one", "three"], listed);
    assert.deepEqual(classified.known.map(({ test }) => test), ["one"]);
    assert.deepEqual(classified.unknown, ["three"]);
    assert.deepEqual(classified.stale.map(({ test }) => test), ["two"]);
  });
});

describe("readFailedTests", () => {
  it("returns failed tests without the suites that contain them", () => {
    const tap = [
      "    not ok 1 - loses a chunk",
      "      failureType: 'testCodeFailure'",
      "    ok 2 - keeps all",
      "not ok 1 - a stream",
      "  failureType: 'subtestsFailed'",
    ].join("\n");
    assert.deepEqual(readFailedTests(tap), ["loses a chunk"]);
  });
});
