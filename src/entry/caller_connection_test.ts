import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { CallerConnection } from "./caller_connection.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";

/** Returns everything that a caller receives until its connection is closed. */
async function receive(
  answer: (connection: CallerConnection) => void,
): Promise<string> {
  const server = createServer((incoming, outgoing) => {
    const protocol = new OwnCallerProtocol();
    answer(new CallerConnection(incoming, outgoing, protocol));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {/* An aborted answer may reset the connection. */});
  await once(socket, "close");
  server.close();
  return text.toLowerCase();
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
  it("end by closing the connection when the back end ended them so", async () => {
    const text = await receive((connection) => {
      connection.endWithConnection();
      connection.start(200, [["content-type", "text/plain"]]);
      connection.write(new TextEncoder().encode("some"));
      connection.finish();
    });
    assert.match(text, /connection: close/);
    assert.doesNotMatch(text, /transfer-encoding|content-length/);
    assert.ok(text.endsWith("\r\n\r\nsome"));
  });

  it("have no last chunk when they are aborted", async () => {
    const text = await receive((connection) => {
      connection.start(200, [["content-type", "text/plain"]]);
      connection.write(new TextEncoder().encode("some"));
      setTimeout(() => connection.abort(), 50);
    });
    assert.match(text, /transfer-encoding: chunked/);
    assert.ok(text.endsWith("4\r\nsome\r\n"));
  });
});
