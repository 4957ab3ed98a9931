import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isReadableHead } from "./answer_head.ts";

describe("the head of a final answer", () => {
  for (const status of [200, 404, 599]) {
    it(`is readable with status ${status}`, () => {
      assert.ok(isReadableHead(status, {}));
    });
  }

  // No caller knows what such a status means.
  for (const status of [0, 99, 199, 600, 999]) {
    it(`is not readable with status ${status}`, () => {
      assert.ok(!isReadableHead(status, {}));
    });
  }

  for (const coding of ["chunked", "Chunked", " chunked\t"]) {
    it(`is readable with the transfer coding '${coding}'`, () => {
      assert.ok(isReadableHead(200, { "transfer-encoding": coding }));
    });
  }

  // The coded bytes would reach the caller as the body.
  for (
    const codings of [
      "",
      "gzip",
      "gzip, chunked",
      "chunked, chunked",
      "chunked;level=1",
      "identity",
      ["gzip", "chunked"],
      ["chunked", "chunked"],
    ]
  ) {
    it(`is not readable with the transfer codings '${codings}'`, () => {
      assert.ok(!isReadableHead(200, { "transfer-encoding": codings }));
    });
  }
});
