/**
 * Guards against bodies that occupy more memory than is counted, and against bytes of a
 * body that are lost or in another order.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { BodyBuffer } from "./body_buffer.ts";

function join(pieces: readonly Uint8Array[]): BodyBuffer {
  const body = new BodyBuffer();
  for (const piece of pieces) body.append(piece);
  return body;
}

describe("a body that arrives in pieces", () => {
  it("is the same for any pieces", () => {
    const piece = fc.uint8Array({ maxLength: 5000 });
    const property = fc.property(fc.array(piece), (pieces) => {
      const body = join(pieces);
      assert.equal(body.length, Buffer.concat(pieces).length);
      assert.deepEqual(Buffer.from(body.take()), Buffer.concat(pieces));
    });
    fc.assert(property, { seed: 73 });
  });

  it("is not copied if it is in one piece", () => {
    const piece = Buffer.from("whole");
    assert.equal(join([piece]).take().buffer, piece.buffer);
  });

  it("occupies at most twice its length, or one small block", () => {
    for (const bytes of [1, 2, 700, 1500, 100_000]) {
      const body = join(Array(bytes).fill(Buffer.from("x")));
      assert.ok(body.heldBytes <= Math.max(2 * bytes, 2048), `${bytes}`);
    }
  });
});
