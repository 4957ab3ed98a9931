import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { describe, it } from "node:test";
import { HttpBackEnd } from "./http_back_end.ts";

const REQUEST = {
  method: "GET",
  path: "/",
  headers: [],
  body: new Uint8Array(),
  limitMs: 5000,
} as const;

type Answer = (socket: Socket) => void;

interface CallResult {
  readonly outcome: string;
  readonly body: string;
}

/** A server on raw sockets, and the way to it. */
async function startServer(
  onConnection: (socket: Socket) => void,
  connectLimitMs?: number,
) {
  const server = createServer(onConnection);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const backEnd = new HttpBackEnd({
    address: `127.0.0.1:${port}`,
    connections: 1,
    connectLimitMs,
  });
  return { server, backEnd };
}

/** Calls a server that answers on a raw socket. */
async function callServer(answer: Answer): Promise<CallResult> {
  const { server, backEnd } = await startServer((socket) => {
    socket.on("error", () => {/* Resets are what these tests are about. */});
    socket.once("data", () => answer(socket));
  });
  let body = "";
  const outcome = await new Promise<string>((resolve) => {
    backEnd.start(REQUEST, {
      onHead: () => undefined,
      onData: (bytes) => body += new TextDecoder().decode(bytes),
      onEnd: () => resolve("whole"),
      onFailed: resolve,
    });
  });
  await backEnd.close();
  server.close();
  return { outcome, body };
}

const UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

describe("answers of a back end", () => {
  it("without a length are whole when the connection ends", async () => {
    const result = await callServer((socket) => socket.end(`${UNFRAMED}whole`));
    assert.deepEqual(result, { outcome: "whole", body: "whole" });
  });

  it("without a length are broken when the connection is reset", async () => {
    const result = await callServer((socket) => {
      socket.write(`${UNFRAMED}par`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    assert.equal(result.outcome, "broken");
  });

  const length = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  it("shorter than their length are broken", async () => {
    const result = await callServer((socket) => socket.end(`${length}short`));
    assert.equal(result.outcome, "broken");
  });

  const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  it("in chunks without the last one are broken", async () => {
    const result = await callServer((socket) =>
      socket.end(`${chunked}3\r\nabc\r\n`)
    );
    assert.equal(result.outcome, "broken");
  });

  const closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  it("shorter than their length are broken on a closing connection", async () => {
    const head = `${closing}Content-Length: 9\r\n\r\n`;
    const result = await callServer((socket) => socket.end(`${head}short`));
    assert.equal(result.outcome, "broken");
  });

  for (const piece of ["3\r\nabc\r\n", "3\r\nab", ""]) {
    const name = JSON.stringify(piece);
    it(`in chunks that end after ${name} are broken on a closing connection`, async () => {
      const head = `${closing}Transfer-Encoding: chunked\r\n\r\n`;
      const result = await callServer((socket) => socket.end(head + piece));
      assert.equal(result.outcome, "broken");
    });
  }

  it("that are no HTTP are broken", async () => {
    const result = await callServer((socket) => socket.end("nonsense\r\n\r\n"));
    assert.equal(result.outcome, "broken");
  });
});

/** How a server sees its connection end when the call is broken off. */
async function breakOff(): Promise<string> {
  const { server, backEnd } = await startServer(() => undefined);
  const call = backEnd.start(REQUEST, {
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onFailed: () => undefined,
  });
  const [socket] = await once(server, "connection") as [Socket];
  await once(socket, "data");
  const ended = new Promise<string>((resolve) => {
    socket.once("end", () => resolve("closed"));
    socket.once(
      "error",
      (error: Error & { readonly code?: string }) => resolve(error.code ?? ""),
    );
  });
  call.cancel();
  const seen = await ended;
  socket.destroy();
  await backEnd.close();
  server.close();
  return seen;
}

describe("a call that is broken off", () => {
  it("resets its connection, so that what is on its way is taken back", async () => {
    assert.equal(await breakOff(), "ECONNRESET");
  });
});

/** Stands still as a process without a processor does. */
function standStill(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) { /* Nothing else runs. */ }
}

describe("a call that is not to be sent any more once its connection is ready", () => {
  // Guards against a request that reaches a back end after that has asked for none.
  it("sends nothing, and says so", async () => {
    let received = 0;
    const { server, backEnd } = await startServer((socket) => {
      socket.on("error", () => {/* It is reset, as nothing was sent. */});
      socket.on("data", (bytes) => received += bytes.length);
    });
    const failure = await new Promise<string>((resolve) => {
      backEnd.start({ ...REQUEST, mayBegin: () => false }, {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve("whole"),
        onFailed: resolve,
      });
    });
    await backEnd.close();
    server.close();
    assert.equal(failure, "withheld");
    assert.equal(received, 0);
  });
});

describe("a call whose connection was made while the process stood still", () => {
  it("sends nothing, and says so", async () => {
    const connectLimitMs = 30;
    let received = 0;
    const { server, backEnd } = await startServer(
      (socket) => {
        socket.on("error", () => {/* It is reset, as nothing was sent. */});
        socket.on("data", (bytes) => received += bytes.length);
      },
      connectLimitMs,
    );
    const failure = new Promise<string>((resolve) => {
      backEnd.start(REQUEST, {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve("whole"),
        onFailed: resolve,
      });
    });
    standStill(2 * connectLimitMs);
    assert.equal(await failure, "not_begun");
    await backEnd.close();
    server.close();
    assert.equal(received, 0);
  });
});
