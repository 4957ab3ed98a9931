import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
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

function createSignal() {
  let end = (): void => undefined;
  const promise = new Promise<void>((resolve) => end = resolve);
  return { promise, end: () => end() };
}
