import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnswerTimes } from "./answer_times.ts";

const SERVICE = "/organisations/andamaq/services/confirm";

describe("answer times", () => {
  it("are zero for a service without answers", () => {
    const { firstChunkMs, wholeMs } = new AnswerTimes().get(SERVICE);
    assert.deepEqual([firstChunkMs, wholeMs], [0, 0]);
  });

  it("follow a change of the service within some ten answers", () => {
    const times = new AnswerTimes();
    times.recordFirstChunk(SERVICE, 150);
    times.recordWhole(SERVICE, 1000);
    assert.equal(times.get(SERVICE).wholeMs, 1000);
    for (let count = 0; count < 20; count++) times.recordWhole(SERVICE, 2000);
    const { firstChunkMs, wholeMs } = times.get(SERVICE);
    assert.equal(firstChunkMs, 150);
    assert.ok(wholeMs > 1900 && wholeMs < 2000, `${wholeMs}`);
  });

  // Guards against a request that counts as short because the latest ones were.
  it("include the longest of some hundred answers, and forget it later", () => {
    const times = new AnswerTimes();
    times.recordWhole(SERVICE, 6000);
    for (let count = 0; count < 127; count++) times.recordWhole(SERVICE, 100);
    assert.equal(times.get(SERVICE).longestMs, 6000);
    for (let count = 0; count < 256; count++) times.recordWhole(SERVICE, 100);
    assert.equal(times.get(SERVICE).longestMs, 100);
  });

  // Guards against long streams of one service that shorten the waits of another one.
  it("are separate for each service", () => {
    const times = new AnswerTimes();
    times.recordWhole(SERVICE, 6000);
    assert.equal(times.get(`${SERVICE}-2`).wholeMs, 0);
  });
});
