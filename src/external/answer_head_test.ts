import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isReadableHead } from "./answer_head.ts";

describe("the head of an answer", () => {
  for (const coding of ["chunked", "Chunked", " chunked\t"]) {
    it(`is readable with the transfer coding '${coding}'`, () => {
      assert.ok(isReadableHead({ "transfer-encoding": coding }));
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
      assert.ok(!isReadableHead({ "transfer-encoding": codings }));
    });
  }
});
