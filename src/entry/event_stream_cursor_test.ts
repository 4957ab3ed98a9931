import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EventStreamCursor } from "./event_stream_cursor.ts";

const SEED = 20261202;

function createEvent(id: number, data = "token"): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

function push(cursor: EventStreamCursor, text: string): string {
  return Buffer.from(cursor.push(Buffer.from(text)).events).toString();
}

describe("event stream cursor", () => {
  it("returns complete events and buffers the rest", () => {
    const cursor = new EventStreamCursor();
    assert.equal(push(cursor, createEvent(1) + "id: 2\nda"), createEvent(1));
    assert.equal(cursor.lastEventId, "1");
    assert.equal(push(cursor, "ta: token\n\n"), createEvent(2));
    assert.equal(cursor.lastEventId, "2");
  });

  it("loses no byte of a stream, wherever it is split into chunks", () => {
    const text = Array.from(
      { length: 12 },
      (_, index) => createEvent(index + 1, "é".repeat(index)),
    ).join("");
    const bytes = Buffer.from(text);
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: bytes.length }), { maxLength: 9 }),
        (splits) => {
          const cursor = new EventStreamCursor();
          const ends = [...splits.sort((left, right) => left - right)];
          const events: Uint8Array[] = [];
          let start = 0;
          for (const end of [...ends, bytes.length]) {
            events.push(cursor.push(bytes.subarray(start, end)).events);
            start = end;
          }
          assert.equal(Buffer.concat(events).toString(), text);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  it("accepts lines that end in carriage return and line feed", () => {
    const cursor = new EventStreamCursor();
    const event = "id: 1\r\ndata: a\r\n\r\n";
    assert.equal(push(cursor, event), event);
    assert.equal(cursor.lastEventId, "1");
  });

  it("continues with another attempt after the last complete event", () => {
    const cursor = new EventStreamCursor();
    push(cursor, createEvent(1) + "id: 2\n");
    cursor.startAttempt();
    assert.equal(push(cursor, createEvent(2)), createEvent(2));
  });

  for (const id of [1, 4]) {
    it(`detects a gap when event ${id} follows event 2`, () => {
      const cursor = new EventStreamCursor("2");
      const progress = cursor.push(Buffer.from(createEvent(id)));
      assert.equal(progress.isBroken, true);
      assert.equal(progress.events.length, 0);
    });
  }

  // Guards against a process that holds an event without end.
  it("gives up an event of more than a megabyte, and holds no byte of it", () => {
    const cursor = new EventStreamCursor();
    push(cursor, createEvent(1) + "id: 2\ndata: ");
    const piece = Buffer.alloc(65_536, "x");
    let pieces = 0;
    while (!cursor.push(piece).isBroken) pieces++;
    assert.ok(pieces >= 15 && pieces <= 16, `${pieces} pieces`);
    assert.equal(cursor.takeRemainder().length, 0);
    assert.equal(cursor.lastEventId, "1");
  });

  it("returns long events", () => {
    const cursor = new EventStreamCursor();
    const event = createEvent(1, "x".repeat(1_000_000));
    assert.equal(push(cursor, event.slice(0, 500_000)), "");
    assert.equal(push(cursor, event.slice(500_000)), event);
  });
});
