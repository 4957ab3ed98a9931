/**
 * Guards against answers of the old scripts that are broken and reach their caller as
 * whole ones.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createSocketAddress } from "../testing/socket_addresses.ts";
import { CallerConnection } from "./caller_connection.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";
import { ScriptsForwarder } from "./scripts_forwarder.ts";

const DEADLINE_MS = 400;
const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";

type Answer = (socket: Socket) => void | Promise<void>;

interface Received {
  /** 0 if the connection was closed before an answer began. */
  readonly status: number;
  /** Undefined if the answer was not complete. */
  readonly text: string | undefined;
}

describe("an answer of the old scripts", () => {
  let answer: Answer = () => undefined;
  const scripts = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => void answer(socket));
  });
  const forwarder = new ScriptsForwarder();
  const entry = createHttpServer(async (incoming, outgoing) => {
    const protocol = new OwnCallerProtocol();
    const connection = new CallerConnection(incoming, outgoing, protocol);
    const options = { meter: undefined, maxBodyBytes: 1000 };
    const read = await connection.read(1, options);
    const { port } = scripts.address() as AddressInfo;
    await forwarder.forward({
      kind: "forward_to_scripts",
      address: createSocketAddress(`127.0.0.1:${port}`),
      deadlineMs: DEADLINE_MS,
      request: read.unwrap(),
    }, connection);
  });

  before(async () => {
    for (const server of [scripts, entry]) {
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
    }
  });

  after(async () => {
    entry.close();
    scripts.close();
    await forwarder.close();
  });

  async function call(
    answerOfScripts: Answer,
  ): Promise<Received> {
    answer = answerOfScripts;
    const { port } = entry.address() as AddressInfo;
    let status = 0;
    try {
      const response = await request(`http://127.0.0.1:${port}/`);
      status = response.statusCode;
      return { status, text: await response.body.text() };
    } catch {
      return { status, text: undefined };
    }
  }

  it("is passed on whole", async () => {
    const received = await call(async (socket) => {
      socket.write(`${UNFRAMED}one `);
      await sleep(30);
      socket.end("two");
    });
    assert.deepEqual(received, { status: 200, text: "one two" });
  });

  it("without a length is cut if the connection is reset", async () => {
    const { text } = await call(async (socket) => {
      socket.write(`${UNFRAMED}one `);
      await sleep(30);
      socket.resetAndDestroy();
    });
    assert.equal(text, undefined);
  });

  it("with a transfer coding that is not decoded is refused", async () => {
    const { status } = await call((socket) => {
      const codings = "Transfer-Encoding: gzip, chunked\r\n\r\n";
      socket.end(`HTTP/1.1 200 OK\r\n${codings}1\r\nx\r\n0\r\n\r\n`);
    });
    assert.equal(status, 502);
  });

  it("is passed on after the deadline if it has begun and continues", async () => {
    const received = await call(async (socket) => {
      socket.write(UNFRAMED);
      for (let count = 0; count < 4; count++) {
        await sleep(DEADLINE_MS / 2);
        socket.write("x");
      }
      socket.end();
    });
    assert.deepEqual(received, { status: 200, text: "xxxx" });
  });

  it("is refused if it does not begin before the deadline", async () => {
    const { status } = await call(() => undefined);
    assert.equal(status, 502);
  });
});
