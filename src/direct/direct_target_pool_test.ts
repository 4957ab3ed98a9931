import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import {
  BackEnd,
  type BackEndCall,
  type BackEndListener,
  type BackEndRequest,
} from "../external/back_end.ts";
import { HttpBackEnd } from "../external/http_back_end.ts";
import type { AttemptMessage } from "../messages/types.ts";
import { createInstance, createSubmit } from "../testing/fixtures.ts";
import { DirectTargetPool } from "./direct_target_pool.ts";

/**
 * Guards against a back end that counts as having broken off its answer, and is avoided
 * or taken for crashed, because this program's own handler of the answer throws.
 */
describe("an exception in the handler of a back end's answer", () => {
  it("is logged as an internal fault, and the answer is not cut off", async () => {
    const server = createServer((_, response) => response.end("answer"));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const log = new EventLog({ role: "entry", processName: "test" });
    const kinds: string[] = [];
    const { promise, end } = createSignal();
    const pool = new DirectTargetPool({
      createBackEnd: ({ address }) =>
        new HttpBackEnd({ address, maxConnections: 1 }),
      log,
      onMessage: (_, message: AttemptMessage) => {
        kinds.push(message.kind);
        if (message.kind === "answer_head") throw new TypeError("unexpected");
        if (message.kind !== "answer_data") end();
      },
      mayBegin: () => true,
    });
    pool.setInstances([
      createInstance("i-1", { address: `127.0.0.1:${port}` }),
    ]);
    pool.tryLink("i-1")?.send(createSubmit());
    await promise;
    pool.close();
    server.close();
    assert.deepEqual(kinds, ["answer_head", "answer_data", "answer_end"]);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});

/** A back end to which requests for one path cannot be sent. */
class UnsendableBackEnd extends BackEnd {
  override start(
    { path }: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall {
    if (path === "/bad") throw new TypeError("unexpected");
    listener.onFailed("full");
    return {
      cancel: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
      unreadBytes: 0,
    };
  }

  override async close(): Promise<void> {}
}

// Guards against a process that ends, or a request that is never answered.
describe("an exception while a request is sent to a back end", () => {
  it("fails that attempt, which may have run, and no other one", async () => {
    const log = new EventLog({ role: "entry", processName: "test" });
    const messages: AttemptMessage[] = [];
    const pool = new DirectTargetPool({
      createBackEnd: () => new UnsendableBackEnd(),
      log,
      onMessage: (_, message) => messages.push(message),
      mayBegin: () => true,
    });
    pool.setInstances([createInstance("i-1")]);
    pool.tryLink("i-1")?.send(createSubmit({ requestId: 1, path: "/bad" }));
    pool.tryLink("i-1")?.send(createSubmit({ requestId: 2 }));
    await Promise.resolve();
    const outcomes = messages.map((message) =>
      message.kind === "refused"
        ? `${message.requestId} ${message.submission}`
        : message.kind
    );
    assert.deepEqual(outcomes, ["2 not-run", "1 unknown"]);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});

// Guards against a list that is not applied because of one of its back ends.
describe("an exception while a back end is added", () => {
  it("leaves out that back end, and the others hold", () => {
    const log = new EventLog({ role: "entry", processName: "test" });
    const pool = new DirectTargetPool({
      createBackEnd: ({ id }) => {
        if (id === "bad") throw new TypeError("unexpected");
        return new UnsendableBackEnd();
      },
      log,
      onMessage: () => undefined,
      mayBegin: () => true,
    });
    const instances = ["one", "bad", "two"].map((id) => createInstance(id));
    const callable = pool.setInstances(instances);
    assert.deepEqual(callable.map(({ id }) => id), ["one", "two"]);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});

function createSignal() {
  let end = (): void => undefined;
  const promise = new Promise<void>((resolve) => end = resolve);
  return { promise, end: () => end() };
}
