/**
 * Guards against requests that are lost, joined or answered in another order when a
 * connection is read request by request, and against more than one that is parsed at once.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as fc from "fast-check";
import { waitForPendingReads } from "../core/event_loop.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import { parseAddress } from "./address.ts";
import { MAX_REQUESTS_AHEAD } from "./connection_limits.ts";
import { HttpListener, type HttpListenerOptions } from "./http_listener.ts";

/** A request as it is sent, and the answer of {@link answerWithRequest} to it. */
interface SentRequest {
  readonly bytes: Buffer;
  readonly answer: string;
}

let listener: HttpListener | undefined;
const sockets: Socket[] = [];

async function connectTo(
  handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
  options: HttpListenerOptions = {},
): Promise<Socket> {
  listener = new HttpListener(handle, options);
  const address = await findFreeAddress();
  await listener.listen(address);
  const { port, hostname } = parseAddress(address);
  return openConnection(port, hostname);
}

async function openConnection(port: number, host: string): Promise<Socket> {
  const socket = connect(port, host);
  socket.on("error", () => {/* The listener may close the connection. */});
  socket.setEncoding("latin1");
  sockets.push(socket);
  await once(socket, "connect");
  return socket;
}

/** Answers with the path and the body. */
async function answerWithRequest(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  let body = "";
  for await (const chunk of incoming.setEncoding("latin1")) body += chunk;
  await waitForPendingReads();
  outgoing.end(`${incoming.url} ${body}`);
}

/** Collects what a socket receives. */
function collect(socket: Socket): { text: string } {
  const received = { text: "" };
  socket.on("data", (text) => received.text += text);
  return received;
}

/** Returns the bodies of answers that have a length. */
function getBodies(text: string): readonly string[] {
  const bodies: string[] = [];
  let rest = text;
  for (;;) {
    const head = rest.indexOf("\r\n\r\n");
    const length = Number(/content-length: (\d+)/i.exec(rest)?.[1]);
    if (head < 0 || rest.length < head + 4 + length) return bodies;
    bodies.push(rest.slice(head + 4, head + 4 + length));
    rest = rest.slice(head + 4 + length);
  }
}

/** Bodies in which the ends of heads occur, too. */
const BODY = fc.array(fc.constantFrom("\r\n", "\r", "0", "x", "\n", "GET / "), {
  maxLength: 30,
}).map((parts) => parts.join(""));
const TRAILERS = fc.constantFrom("", "a: b\r\n", "a: b\r\nc: d\r\n");

function createRequest(path: string, rest: string, body = ""): SentRequest {
  const text = `POST ${path} HTTP/1.1\r\nHost: a\r\n${rest}`;
  return { bytes: Buffer.from(text, "latin1"), answer: `${path} ${body}` };
}

const REQUEST: fc.Arbitrary<SentRequest> = fc.oneof(
  fc.constant(createRequest("/none", "\r\n")),
  BODY.map((body) =>
    createRequest(
      "/length",
      `Content-Length: ${body.length}\r\n\r\n${body}`,
      body,
    )
  ),
  fc.tuple(fc.array(BODY, { maxLength: 4 }), TRAILERS).map(
    ([parts, trailers]) => {
      const chunks = parts.filter((part) => part !== "").map((part) =>
        `${part.length.toString(16)}\r\n${part}\r\n`
      );
      const rest = `Transfer-Encoding: chunked\r\n\r\n${chunks.join("")}`;
      const end = `0\r\n${trailers}\r\n`;
      return createRequest("/chunks", rest + end, parts.join(""));
    },
  ),
);

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  listener?.close();
});

describe("a connection on which requests are sent ahead", () => {
  it("gets all answers in order, in whichever pieces it sends", async () => {
    const socket = await connectTo((incoming, outgoing) =>
      void answerWithRequest(incoming, outgoing)
    );
    const received = collect(socket);
    const property = fc.asyncProperty(
      fc.array(REQUEST, { minLength: 1, maxLength: 20 }),
      fc.array(fc.integer({ min: 1, max: 60 }), { maxLength: 12 }),
      async (requests, lengths) => {
        received.text = "";
        let rest = Buffer.concat(requests.map(({ bytes }) => bytes));
        for (const length of lengths) {
          socket.write(rest.subarray(0, length));
          rest = rest.subarray(length);
          await sleep(1);
        }
        socket.write(rest);
        await waitUntil(
          "all answers have arrived",
          () => getBodies(received.text).length >= requests.length,
        );
        assert.deepEqual(
          getBodies(received.text),
          requests.map(({ answer }) => answer),
        );
      },
    );
    await fc.assert(property, { seed: 73, numRuns: 60 });
  });

  it("has no more than a few of them served at the same time", async () => {
    let open = 0;
    let peak = 0;
    const socket = await connectTo((_incoming, outgoing) => {
      peak = Math.max(peak, ++open);
      outgoing.once("finish", () => open--);
      setTimeout(() => outgoing.end("x"), 5);
    });
    const received = collect(socket);
    const count = 3 * MAX_REQUESTS_AHEAD;
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
    await waitUntil(
      "all answers have arrived",
      () => getBodies(received.text).length === count,
    );
    assert.equal(peak, MAX_REQUESTS_AHEAD);
  });

  it("has all of them given up when it is reset", async () => {
    let closed = 0;
    const socket = await connectTo((_incoming, outgoing) => {
      outgoing.once("close", () => closed++);
    });
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(10));
    await sleep(50);
    socket.resetAndDestroy();
    await waitUntil("all are given up", () => closed === 10);
    assert.equal(listener?.connections.size, 0);
  });
});

describe("the limits of a listener", () => {
  const answer = (_incoming: IncomingMessage, outgoing: ServerResponse) =>
    outgoing.end("x");

  async function readUntilClosed(socket: Socket): Promise<string> {
    const received = collect(socket);
    if (!socket.closed) await once(socket, "close");
    return received.text;
  }

  it("refuse a head that is too large with 431", async () => {
    const limits = { maxHeadBytes: 1000 };
    const socket = await connectTo(answer, { limits });
    socket.write(`GET / HTTP/1.1\r\nHost: a\r\nb: ${"c".repeat(4000)}\r\n\r\n`);
    assert.match(await readUntilClosed(socket), /^HTTP\/1.1 431 /);
  });

  it("refuse a head that is too slow with 408, and no other one", async () => {
    const limits = { headTimeoutMs: 3000 };
    const slow = await connectTo(answer, { limits });
    listener?.checkConnections(0);
    slow.write("GET / HTTP/1.1\r\n");
    await sleep(50);
    listener?.checkConnections(1000);
    const { remotePort = 0, remoteAddress = "" } = slow;
    const later = await openConnection(remotePort, remoteAddress);
    later.write("GET / HTTP/1.1\r\n");
    await sleep(50);
    // A frozen process has not read what arrived in the meantime.
    listener?.checkConnections(60_000);
    listener?.checkConnections(61_000);
    listener?.checkConnections(62_000);
    assert.match(await readUntilClosed(slow), /^HTTP\/1.1 408 /);
    later.write("Host: a\r\n\r\n");
    assert.match(String(await once(later, "data")), /^HTTP\/1.1 200 /);
  });

  it("allow each head its time, though the next one has always begun", async () => {
    const limits = { headTimeoutMs: 1000 };
    const socket = await connectTo(answer, { limits });
    const received = collect(socket);
    listener?.checkConnections(0);
    socket.write("GET /");
    for (let second = 1; second <= 6; second++) {
      await sleep(20);
      listener?.checkConnections(second * 1000);
      socket.write(" HTTP/1.1\r\nHost: a\r\n\r\nGET /");
      await waitUntil(
        "the request is answered",
        () => getBodies(received.text).length === second,
      );
    }
  });

  it("close the connection that has been of no use for the longest", async () => {
    const limits = { maxConnections: 2 };
    const first = await connectTo(answer, { limits });
    const { remotePort = 0, remoteAddress = "" } = first;
    const second = await openConnection(remotePort, remoteAddress);
    first.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await once(first, "data");
    const third = await openConnection(remotePort, remoteAddress);
    assert.equal(await readUntilClosed(second), "");
    for (const socket of [first, third]) {
      socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      assert.match(String(await once(socket, "data")), /^HTTP\/1.1 200 /);
    }
  });
});
