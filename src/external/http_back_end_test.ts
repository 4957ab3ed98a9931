import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { describe, it } from "node:test";
import { HttpBackEnd } from "./http_back_end.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

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

/** Starts a server on raw sockets and a client for it. */
async function startServer(
  onConnection: (socket: Socket) => void,
  connectLimitMs?: number,
) {
  const server = createServer(onConnection);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const backEnd = new HttpBackEnd({
    address: createSocketAddress(`127.0.0.1:${port}`),
    maxConnections: 1,
    connectLimitMs,
  });
  return { server, backEnd };
}

/** Calls a server that answers on a raw socket, and returns the outcome. */
async function callServer(answer: Answer): Promise<CallResult> {
  const { server, backEnd } = await startServer((socket) => {
    socket.on("error", () => {/* Resets are expected. */});
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
  it("without a length are complete when the connection is closed", async () => {
    const result = await callServer((socket) => socket.end(`${UNFRAMED}whole`));
    assert.deepEqual(result, { outcome: "whole", body: "whole" });
  });

  it("without a length fail when the connection is reset", async () => {
    const result = await callServer((socket) => {
      socket.write(`${UNFRAMED}par`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    assert.equal(result.outcome, "broken");
  });

  const length = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  it("shorter than their length fail", async () => {
    const result = await callServer((socket) => socket.end(`${length}short`));
    assert.equal(result.outcome, "broken");
  });

  const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  it("in chunks without the last chunk fail", async () => {
    const result = await callServer((socket) =>
      socket.end(`${chunked}3\r\nabc\r\n`)
    );
    assert.equal(result.outcome, "broken");
  });

  const closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  it("shorter than their length fail on a closing connection", async () => {
    const head = `${closing}Content-Length: 9\r\n\r\n`;
    const result = await callServer((socket) => socket.end(`${head}short`));
    assert.equal(result.outcome, "broken");
  });

  for (const chunk of ["3\r\nabc\r\n", "3\r\nab", ""]) {
    const name = JSON.stringify(chunk);
    it(`in chunks that end after ${name} fail on a closing connection`, async () => {
      const head = `${closing}Transfer-Encoding: chunked\r\n\r\n`;
      const result = await callServer((socket) => socket.end(head + chunk));
      assert.equal(result.outcome, "broken");
    });
  }

  const interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  it("after a hundred interim answers are complete", async () => {
    const result = await callServer((socket) =>
      socket.end(`${interim.repeat(100)}${UNFRAMED}whole`)
    );
    assert.deepEqual(result, { outcome: "whole", body: "whole" });
  });

  // Parsing them would take processor time until the time limit of the call.
  it("after more interim answers fail", async () => {
    const result = await callServer((socket) =>
      socket.end(`${interim.repeat(101)}${UNFRAMED}whole`)
    );
    assert.equal(result.outcome, "broken");
  });

  it("that are not HTTP fail", async () => {
    const result = await callServer((socket) => socket.end("nonsense\r\n\r\n"));
    assert.equal(result.outcome, "broken");
  });
});

/** Returns how the server's side of the connection ends when the call is cancelled. */
async function cancelCall(): Promise<string> {
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
  const outcome = await ended;
  socket.destroy();
  await backEnd.close();
  server.close();
  return outcome;
}

describe("a cancelled call", () => {
  it("resets its connection, which discards the request in transit", async () => {
    assert.equal(await cancelCall(), "ECONNRESET");
  });
});

/** Blocks the event loop, as if the process had no processor time. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) { /* Busy wait. */ }
}

describe("a call that may no longer be sent once its connection is ready", () => {
  // A request must not reach a back end that has requested a backoff meanwhile.
  it("sends nothing and fails as withheld", async () => {
    let received = 0;
    const { server, backEnd } = await startServer((socket) => {
      socket.on(
        "error",
        () => {/* The connection is reset, as nothing was sent. */},
      );
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

describe("a call whose connection was established while the process was stalled", () => {
  it("sends nothing and fails as not begun", async () => {
    const connectLimitMs = 30;
    let received = 0;
    const { server, backEnd } = await startServer(
      (socket) => {
        socket.on(
          "error",
          () => {/* The connection is reset, as nothing was sent. */},
        );
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
    blockEventLoop(2 * connectLimitMs);
    assert.equal(await failure, "not_begun");
    await backEnd.close();
    server.close();
    assert.equal(received, 0);
  });
});
