/**
 * Guards against a server whose answer has no end, and of which its caller keeps all that
 * arrives until its time limit: the memory of the process is filled within a second.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createSocketAddress } from "../testing/socket_addresses.ts";
import { fetchAnswer } from "./fetch_answer.ts";
import { HttpBackEnd } from "./http_back_end.ts";

const LIMIT_MS = 1000;
/** Bytes of a piece of the answer. */
const PIECE = Buffer.alloc(65_536, "x");
/** More than is kept of an answer, with what the buffers of a connection hold. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

function sendWithoutEnd(socket: Socket): void {
  while (!socket.destroyed && socket.write(PIECE)) { /* Until it is full. */ }
}

describe("an answer without end that is to be kept whole", () => {
  it("fails and is cut off long before its time limit", async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => {/* The caller resets the connection. */});
      socket.on("drain", () => sendWithoutEnd(socket));
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        sendWithoutEnd(socket);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const address = createSocketAddress(`127.0.0.1:${port}`);
    const backEnd = new HttpBackEnd({ address, maxConnections: 1 });
    const answer = fetchAnswer(backEnd, {
      method: "GET",
      path: "/",
      headers: [],
      body: new Uint8Array(),
      limitMs: LIMIT_MS,
    });
    await assert.rejects(answer, /broken/);
    await backEnd.close();
    server.close();
    const sent = sockets.reduce((sum, one) => sum + one.bytesWritten, 0);
    assert.ok(sent < MAX_SENT_BYTES, `${sent} bytes sent`);
  });
});
