import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { CallerConnection } from "./caller_connection.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";

interface Received {
  /** All text, in lower case. */
  readonly text: string;
  readonly isReset: boolean;
}

/** Returns what a caller receives until its connection is closed. */
async function receive(
  answer: (connection: CallerConnection) => void,
  version = "1.1",
): Promise<Received> {
  const server = createServer((incoming, outgoing) => {
    const protocol = new OwnCallerProtocol();
    answer(new CallerConnection(incoming, outgoing, protocol));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write(
    `GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`,
  );
  let text = "";
  let isReset = false;
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => isReset = true);
  await new Promise((resolve) => socket.once("close", resolve));
  server.close();
  return { text: text.toLowerCase(), isReset };
}

function startWithoutLength(connection: CallerConnection): void {
  connection.start(200, [["content-type", "text/plain"]]);
  connection.write(new TextEncoder().encode("some"));
}

describe("a caller that disconnects", () => {
  it("is reported as disconnected before its response closes", async () => {
    const events: string[] = [];
    const server = createServer((incoming, outgoing) => {
      const protocol = new OwnCallerProtocol();
      const connection = new CallerConnection(incoming, outgoing, protocol);
      connection.onClosed(() => events.push(`gone ${connection.isClosed}`));
      outgoing.once("close", () => events.push("closed"));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await once(server, "request");
    socket.end();
    await once(socket, "close");
    await once(server.close(), "close");
    assert.equal(events[0], "gone true");
    assert.ok(events.indexOf("closed") > 0);
  });
});

describe("answers to callers", () => {
  it("have a last chunk when they are finished", async () => {
    const { text } = await receive((connection) => {
      startWithoutLength(connection);
      connection.finish();
    });
    assert.match(text, /transfer-encoding: chunked/);
    assert.ok(text.endsWith("4\r\nsome\r\n0\r\n\r\n"));
  });

  it("have no last chunk when they are aborted", async () => {
    const { text } = await receive((connection) => {
      startWithoutLength(connection);
      setTimeout(() => connection.abort(), 50);
    });
    assert.match(text, /transfer-encoding: chunked/);
    assert.ok(text.endsWith("4\r\nsome\r\n"));
  });

  it("end with their connection for callers that know no chunks", async () => {
    const { text, isReset } = await receive((connection) => {
      startWithoutLength(connection);
      connection.finish();
    }, "1.0");
    assert.doesNotMatch(text, /transfer-encoding|content-length/);
    assert.ok(text.endsWith("\r\n\r\nsome"));
    assert.ok(!isReset);
  });

  // Guards against an aborted answer that looks complete.
  it("reset such a connection when they are aborted", async () => {
    const { isReset } = await receive((connection) => {
      startWithoutLength(connection);
      setTimeout(() => connection.abort(), 50);
    }, "1.0");
    assert.ok(isReset);
  });
});
