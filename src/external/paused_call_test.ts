import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { BackEndCall } from "./back_end.ts";
import { HttpBackEnd } from "./http_back_end.ts";

/** Fits in the socket's buffer, and does not: Node.js stops reading then. */
const SMALL = 20_000;
const LARGE = 3_000_000;
/** What a paused call may still deliver: what was read before it was paused. */
const MOST_DELIVERED = 65_536;

/** Before a paused call looks for a reset by itself, and after the server has ended. */
const CHANGE_AFTER_MS = 300;

const CLOSING = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const FRAMINGS = {
  "of known length": (size: number) =>
    `HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`,
  "of known length on a closing connection": (size: number) =>
    `${CLOSING}Content-Length: ${size}\r\n\r\n`,
  "in one chunk": (size: number) =>
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${
      size.toString(16)
    }\r\n`,
  "that ends with its connection": () => `${CLOSING}\r\n`,
} as const;

type FramingName = keyof typeof FRAMINGS;

const NAMES = Object.keys(FRAMINGS) as readonly FramingName[];

interface PausedFixture {
  readonly size: number;
  readonly framing: FramingName;
  /** What the server does once the call is paused. */
  readonly end: (socket: Socket) => void;
  readonly limitMs?: number;
}

/** A call that is paused with its first piece, and then what `act` does with it. */
async function playPaused(
  { size, framing, end, limitMs = 5000 }: PausedFixture,
  act: (call: BackEndCall) => Promise<void>,
) {
  const result = { outcome: "", whilePaused: "", bytes: 0, bytesPaused: 0 };
  const server = createServer((socket) => {
    socket.on("error", () => {/* Resets are what these tests are about. */});
    socket.once("data", async () => {
      socket.write(FRAMINGS[framing](size));
      socket.write(Buffer.alloc(1000));
      await delay(100);
      socket.write(Buffer.alloc(size - 1000));
      if (framing === "in one chunk") socket.write("\r\n0\r\n\r\n");
      end(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const backEnd = new HttpBackEnd({ address, connections: 1 });
  const request = { method: "GET", path: "/", headers: [], limitMs };
  await new Promise<void>((resolve) => {
    const over = (outcome: string) => {
      result.outcome = outcome;
      resolve();
    };
    const call = backEnd.start({ ...request, body: new Uint8Array() }, {
      onHead: () => undefined,
      onData: (piece) => {
        if (result.bytes === 0) call.pause();
        result.bytes += piece.length;
      },
      onEnd: () => over("whole"),
      onFailed: over,
    });
    void delay(CHANGE_AFTER_MS).then(async () => {
      Object.assign(result, {
        whilePaused: result.outcome,
        bytesPaused: result.bytes,
      });
      await act(call);
    });
  });
  await backEnd.close();
  server.close();
  return result;
}

async function goOn(call: BackEndCall): Promise<void> {
  await Promise.resolve();
  call.resume();
}

async function stayPaused(): Promise<void> {}

function resetNow(socket: Socket): void {
  setTimeout(() => {
    Object.assign(socket, { resetAndClosing: true });
    socket.destroy();
  }, 100);
}

// The library's own pause ends the process with an assertion in some of these cases.
describe("a paused answer", () => {
  for (const framing of NAMES) {
    for (const size of [SMALL, LARGE]) {
      it(`${framing} of ${size} bytes is whole though its server ends first`, async () => {
        const end = (socket: Socket) => void socket.end();
        const result = await playPaused({ framing, size, end }, goOn);
        assert.equal(result.whilePaused, "");
        assert.ok(result.bytesPaused <= MOST_DELIVERED);
        assert.equal(result.outcome, "whole");
        assert.equal(result.bytes, size);
      });
    }

    it(`${framing} is broken when it is reset, though nobody resumes it`, async () => {
      const fixture = { framing, size: LARGE, end: resetNow };
      const result = await playPaused(fixture, stayPaused);
      assert.equal(result.outcome, "broken");
      assert.ok(result.bytes <= MOST_DELIVERED);
    });

    it(`${framing} is broken when it is reset and resumed before that is found`, async () => {
      const fixture = { framing, size: LARGE, end: resetNow };
      const result = await playPaused(fixture, goOn);
      assert.equal(result.outcome, "broken");
    });
  }

  it("ends late when its limit passes", async () => {
    const result = await playPaused({
      framing: "of known length",
      size: LARGE,
      end: () => undefined,
      limitMs: 400,
    }, stayPaused);
    assert.equal(result.outcome, "late");
  });

  it("is broken off at once when it is cancelled", async () => {
    const result = await playPaused({
      framing: "that ends with its connection",
      size: LARGE,
      end: () => undefined,
    }, async (call) => {
      await Promise.resolve();
      call.cancel();
    });
    assert.equal(result.outcome, "broken");
  });
});

describe("a connection whose call was paused with its last piece", () => {
  it("serves the next call", async () => {
    const server = createServer((socket) =>
      socket.on(
        "data",
        () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
      )
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const backEnd = new HttpBackEnd({ address, connections: 1 });
    const request = {
      method: "GET",
      path: "/",
      headers: [],
      body: new Uint8Array(),
      limitMs: 1000,
    };
    const outcomes: string[] = [];
    for (let calls = 0; calls < 2; calls++) {
      outcomes.push(
        await new Promise<string>((resolve) => {
          const call = backEnd.start(request, {
            onHead: () => undefined,
            onData: () => call.pause(),
            onEnd: () => resolve("whole"),
            onFailed: resolve,
          });
        }),
      );
    }
    await backEnd.close();
    server.close();
    assert.deepEqual(outcomes, ["whole", "whole"]);
  });
});
