/**
 * Guards against an answer without a length that counts as complete although its server
 * has reset the connection, while the request is still being sent: the caller would take
 * a part for the whole.
 */
import assert from "node:assert/strict";
import diagnostics from "node:diagnostics_channel";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HttpBackEnd } from "./http_back_end.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

/** Far more than the buffers of a connection hold while its server reads little. */
const UPLOAD_BYTES = 32_000_000;
/** What the server reads before it answers, if it does not read all. */
const READ_BYTES = 100_000;
/** How often each case is repeated, as the order of events at the caller varies. */
const REPETITIONS = 8;
const LIMIT_MS = 10_000;

const HEADS = {
  "that announces the close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
  "that does not": "HTTP/1.1 200 OK\r\n\r\n",
} as const;

type HeadName = keyof typeof HEADS;

const HEAD_NAMES = Object.keys(HEADS) as readonly HeadName[];

/** A connection at the server, and the same connection at the caller. */
interface Connection {
  readonly server: Socket;
  readonly client: Socket;
  /** Waits until the server has received a number of bytes of the request. */
  readonly receive: (bytes: number) => Promise<void>;
}

interface CallResult {
  readonly outcome: string;
  readonly body: string;
}

/** Uploads to a server that answers on a raw socket. */
async function upload(
  answer: (connection: Connection) => Promise<void>,
): Promise<CallResult> {
  const clients: Socket[] = [];
  const onClient = (message: unknown) => {
    clients.push((message as { readonly socket: Socket }).socket);
  };
  diagnostics.subscribe("net.client.socket", onClient);
  const answered: Promise<void>[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {/* The caller may reset the connection. */});
    const client = clients.find((one) => one.localPort === socket.remotePort);
    assert.ok(client);
    answered.push(answer(createConnection(socket, client)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = createSocketAddress(`127.0.0.1:${port}`);
  const backEnd = new HttpBackEnd({ address, maxConnections: 1 });
  const result = await callBackEnd(backEnd);
  diagnostics.unsubscribe("net.client.socket", onClient);
  await Promise.all(answered);
  await backEnd.close();
  server.close();
  return result;
}

function callBackEnd(backEnd: HttpBackEnd): Promise<CallResult> {
  let body = "";
  return new Promise((resolve) => {
    backEnd.start({
      method: "POST",
      path: "/",
      headers: [],
      body: new Uint8Array(UPLOAD_BYTES),
      limitMs: LIMIT_MS,
    }, {
      onHead: () => undefined,
      onData: (bytes) => body += new TextDecoder().decode(bytes),
      onEnd: () => resolve({ outcome: "whole", body }),
      onFailed: (outcome) => resolve({ outcome, body }),
    });
  });
}

function createConnection(server: Socket, client: Socket): Connection {
  const receive = async (bytes: number) => {
    server.resume();
    while (server.bytesRead < bytes && !server.destroyed) await delay(1);
    server.pause();
  };
  server.on("data", () => {/* Dropped. */});
  server.pause();
  return { server, client, receive };
}

/** Checks that the caller has bytes to send when the server ends its answer. */
function assertUnsent({ client }: Connection): void {
  assert.ok(client.writableLength > 0, "The request was sent");
}

async function repeat(check: () => Promise<void>): Promise<void> {
  for (let count = 0; count < REPETITIONS; count++) await check();
}

for (const head of HEAD_NAMES) {
  describe(`an early answer without a length, with a head ${head}`, () => {
    for (const waitMs of [0, 1, 30]) {
      it(`fails if the connection is reset ${waitMs} ms later`, async () => {
        await repeat(async () => {
          const { outcome } = await upload(async (connection) => {
            await connection.receive(READ_BYTES);
            connection.server.write(`${HEADS[head]}ab`);
            if (waitMs > 0) await delay(waitMs);
            assertUnsent(connection);
            connection.server.resetAndDestroy();
          });
          assert.equal(outcome, "broken");
        });
      });
    }

    it("fails if the connection is closed while bytes are unread", async () => {
      await repeat(async () => {
        const { outcome } = await upload(async (connection) => {
          await connection.receive(READ_BYTES);
          connection.server.write(`${HEADS[head]}ab`);
          assertUnsent(connection);
          connection.server.destroy();
        });
        assert.equal(outcome, "broken");
      });
    });

    it("fails if its server does not read the rest after the end", async () => {
      await repeat(async () => {
        const { outcome } = await upload(async (connection) => {
          await connection.receive(READ_BYTES);
          connection.server.end(`${HEADS[head]}ab`);
          await delay(20);
          assertUnsent(connection);
          connection.server.resetAndDestroy();
        });
        assert.equal(outcome, "broken");
      });
    });

    it("is whole if its server reads on after the end", async () => {
      await repeat(async () => {
        const result = await upload(async (connection) => {
          await connection.receive(READ_BYTES);
          assertUnsent(connection);
          connection.server.end(`${HEADS[head]}ab`);
          await connection.receive(UPLOAD_BYTES);
        });
        assert.deepEqual(result, { outcome: "whole", body: "ab" });
      });
    });

    it("is whole if its server ends it after the request", async () => {
      await repeat(async () => {
        const result = await upload(async (connection) => {
          await connection.receive(READ_BYTES);
          assertUnsent(connection);
          connection.server.write(`${HEADS[head]}a`);
          await connection.receive(UPLOAD_BYTES);
          connection.server.end("b");
        });
        assert.deepEqual(result, { outcome: "whole", body: "ab" });
      });
    });
  });
}

// What the caller has received of an answer in chunks is lost if it is not parsed before
// the reset that follows.
describe("an early answer in chunks of 30 KB", () => {
  it("is whole if the connection is reset after its last chunk", async () => {
    const size = 30_000;
    await repeat(async () => {
      const { outcome, body } = await upload(async (connection) => {
        await connection.receive(READ_BYTES);
        const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
        connection.server.write(`${head}${chunk}0\r\n\r\n`);
        connection.server.resetAndDestroy();
      });
      assert.equal(outcome, "whole");
      assert.equal(body.length, size);
    });
  });
});
