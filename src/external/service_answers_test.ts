/**
 * Guards against broken answers of the platform's services and of engines that a process
 * takes for whole ones, or keeps until its memory is full. A part of a list would make it
 * believe that the other VMs are gone.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { HttpKeyValueService } from "./http_key_value_service.ts";
import { HttpRankEngine } from "./http_rank_engine.ts";
import { HttpVirtualMachineList } from "./http_virtual_machine_list.ts";

/** More than is kept of an answer, with what the buffers of a connection hold. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;
const PIECE = Buffer.alloc(65_536, " ");
const OK = "HTTP/1.1 200 OK\r\n\r\n";

/** A call whose answer has a JSON text that is complete. */
interface ServiceCall {
  readonly call: (address: string) => Promise<unknown>;
  readonly text: string;
}

const CALLS: Readonly<Record<string, ServiceCall>> = {
  "the list of VMs": {
    call: (address) => new HttpVirtualMachineList(address).read(),
    text: "[]",
  },
  "the key-value service": {
    call: (address) => new HttpKeyValueService(address).tryRead("key"),
    text: JSON.stringify({ value: "one", revision: 12 }),
  },
  "an engine": {
    call: (address) => new HttpRankEngine(address).readLoad(),
    text: JSON.stringify({ tokens: [[1]], slowdown: 1 }),
  },
};

const ANSWERS: Readonly<
  Record<string, (socket: Socket, text: string) => void>
> = {
  "is cut in order": (socket, text) => socket.end(OK + text.slice(0, -1)),
  "is cut by a reset": (socket, text) => {
    socket.write(OK + text.slice(0, -1));
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  "has status 500": (socket, text) =>
    socket.end(OK.replace("200", "500") + text),
  "has a transfer coding": (socket, text) =>
    socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n${text}`),
  "has no end": (socket) => {
    const sendMore = () => {
      while (!socket.destroyed && socket.write(PIECE)) { /* Until full. */ }
    };
    socket.write(OK);
    socket.on("drain", sendMore);
    sendMore();
  },
};

for (const [service, { call, text }] of Object.entries(CALLS)) {
  describe(`an answer of ${service}`, () => {
    for (const [fault, answer] of Object.entries(ANSWERS)) {
      it(`fails if it ${fault}`, async () => {
        const sockets: Socket[] = [];
        const server = createServer((socket) => {
          sockets.push(socket);
          socket.on("error", () => socket.destroy());
          socket.once("data", () => answer(socket, text));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        await assert.rejects(call(`127.0.0.1:${port}`));
        server.close();
        for (const socket of sockets) socket.destroy();
        const sent = sockets.reduce((sum, one) => sum + one.bytesWritten, 0);
        assert.ok(sent < MAX_SENT_BYTES, `${sent} bytes sent`);
      });
    }
  });
}
