import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  BackEnd,
  type BackEndCall,
  type BackEndListener,
  type BackEndRequest,
} from "./back_end.ts";
import { CallFailedError, fetchAnswer } from "./fetch_answer.ts";

const REQUEST: BackEndRequest = {
  method: "GET",
  path: "/",
  headers: [],
  body: new Uint8Array(),
  limitMs: 100,
};

/** A back end that handles every call in the same way. */
class FixedBackEnd extends BackEnd {
  readonly #answer: (listener: BackEndListener) => void;
  isCancelled = false;

  constructor(answer: (listener: BackEndListener) => void) {
    super();
    this.#answer = answer;
  }

  override start(_: BackEndRequest, listener: BackEndListener): BackEndCall {
    this.#answer(listener);
    return {
      cancel: () => {
        this.isCancelled = true;
        listener.onFailed("broken");
      },
      pause: () => undefined,
      resume: () => undefined,
      unreadBytes: 0,
    };
  }

  override async close(): Promise<void> {}
}

describe("a call whose complete answer is awaited", () => {
  it("joins chunks, even if one ends within a character", async () => {
    const bytes = new TextEncoder().encode("né");
    const backEnd = new FixedBackEnd((listener) => {
      listener.onHead(200, [["content-language", "fr"]]);
      listener.onData(bytes.subarray(0, 2));
      listener.onData(bytes.subarray(2));
      listener.onEnd();
    });
    assert.deepEqual(await fetchAnswer(backEnd, REQUEST), {
      status: 200,
      headers: [["content-language", "fr"]],
      text: "né",
    });
  });

  it("rejects with the reason, even if the call fails synchronously", async () => {
    const backEnd = new FixedBackEnd((listener) =>
      listener.onFailed("not_begun")
    );
    const { signal } = new AbortController();
    await assert.rejects(
      fetchAnswer(backEnd, REQUEST, { signal }),
      (error) =>
        error instanceof CallFailedError &&
        error.failure === "not_begun",
    );
  });

  it("is cancelled by its signal", async () => {
    const backEnd = new FixedBackEnd(() => undefined);
    const controller = new AbortController();
    const { signal } = controller;
    const answer = fetchAnswer(backEnd, REQUEST, { signal });
    controller.abort();
    await assert.rejects(answer, CallFailedError);
    assert.equal(backEnd.isCancelled, true);
  });
});
