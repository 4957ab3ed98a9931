/**
 * Guards the reuse of connections to servers that close idle connections earlier than
 * they announce. The client library's pool trusts the announced time: it closed none of
 * the other connections after one was found closed, and established a new connection
 * while another was idle. Servers that closed after 0.3 s but announced 10 s cost two
 * connections per request, and the requests sent on a closed connection failed. The
 * library also never reused a connection whose server announced less than two seconds.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { IdleLifetime } from "../policy/idle_lifetime.ts";
import { HttpBackEnd } from "./http_back_end.ts";
import { getReusableMs } from "./http_connections.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

interface StaleConnectionServerOptions {
  /**
   * Milliseconds of idle time after which the server resets a connection that is used
   * again.
   */
  readonly resetsAfterIdleMs?: number;
  /** Keep-alive time that the server announces, in seconds; undefined: none. */
  readonly keepAliveSeconds?: number;
  readonly closesAfterAnswer?: boolean;
  /**
   * Milliseconds after which the server resets a request in progress, from the second
   * call of a connection.
   */
  readonly crashesAfterMs?: number;
}

/** A server that counts its connections, with a client for it. */
class StaleConnectionServer {
  connections = 0;
  readonly #options: StaleConnectionServerOptions;
  readonly #idleSince = new WeakMap<Socket, number>();
  readonly #server = createServer((request, response) => {
    const { keepAliveSeconds, closesAfterAnswer } = this.#options;
    if (keepAliveSeconds !== undefined) {
      response.setHeader("keep-alive", `timeout=${keepAliveSeconds}`);
    }
    if (closesAfterAnswer) response.setHeader("connection", "close");
    request.resume();
    const { crashesAfterMs } = this.#options;
    if (crashesAfterMs !== undefined && this.#idleSince.has(request.socket)) {
      setTimeout(() => request.socket.resetAndDestroy(), crashesAfterMs);
      return;
    }
    response.once(
      "finish",
      () => this.#idleSince.set(request.socket, performance.now()),
    );
    response.end("answer");
  });
  #backEnd: HttpBackEnd | undefined;

  constructor(options: StaleConnectionServerOptions) {
    this.#options = options;
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => this.#onConnection(socket));
  }

  async start(lifetime = new IdleLifetime()): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.#backEnd = new HttpBackEnd({
      address: createSocketAddress(`127.0.0.1:${port}`),
      maxConnections: 48,
      lifetime,
    });
  }

  /** Makes concurrent calls and returns their outcomes. */
  async call(count = 1): Promise<readonly string[]> {
    return await Promise.all(
      Array.from({ length: count }, () => this.#callOnce()),
    );
  }

  async stop(): Promise<void> {
    await this.#backEnd?.close();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #callOnce(): Promise<string> {
    return new Promise((resolve) => {
      this.#backEnd?.start({
        method: "POST",
        path: "/",
        headers: [],
        body: new TextEncoder().encode("text"),
        limitMs: 5000,
      }, {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve("whole"),
        onFailed: resolve,
      });
    });
  }

  #onConnection(socket: Socket): void {
    this.connections++;
    socket.on("error", () => {/* Resets are expected. */});
    socket.prependListener("data", () => {
      const since = this.#idleSince.get(socket);
      if (since === undefined) return;
      const idleMs = performance.now() - since;
      const { resetsAfterIdleMs = Infinity } = this.#options;
      if (idleMs >= resetsAfterIdleMs) socket.resetAndDestroy();
    });
  }
}

/** Makes calls one after the other, `gapMs` apart, and returns their outcomes. */
async function callInSequence(
  server: StaleConnectionServer,
  calls: number,
  gapMs: number,
): Promise<readonly string[]> {
  const outcomes: string[] = [];
  for (let call = 0; call < calls; call++) {
    outcomes.push(...await server.call());
    await sleep(gapMs);
  }
  return outcomes;
}

describe("connections to a server", () => {
  it("that forgets them cost one request, and one connection a request", async () => {
    const server = new StaleConnectionServer({
      resetsAfterIdleMs: 100,
      keepAliveSeconds: 10,
    });
    await server.start();
    await server.call(3);
    await sleep(150);
    const outcomes = await callInSequence(server, 8, 150);
    await server.stop();
    assert.equal(outcomes.filter((one) => one !== "whole").length, 1);
    assert.ok(server.connections <= 3 + 7, `${server.connections} made`);
  });

  it("are closed at all servers of the pool once one was found closed", async () => {
    const lifetime = new IdleLifetime();
    const servers = Array.from(
      { length: 4 },
      () =>
        new StaleConnectionServer({
          resetsAfterIdleMs: 100,
          keepAliveSeconds: 10,
        }),
    );
    for (const server of servers) await server.start(lifetime);
    for (const server of servers) await server.call();
    await sleep(150);
    const outcomes: string[] = [];
    for (const server of servers) outcomes.push(...await server.call());
    for (const server of servers) await server.stop();
    assert.deepEqual(outcomes, ["broken", "whole", "whole", "whole"]);
  });

  it("that closes after each answer are established once per request", async () => {
    const server = new StaleConnectionServer({ closesAfterAnswer: true });
    await server.start();
    const outcomes = await callInSequence(server, 6, 10);
    await server.stop();
    assert.ok(outcomes.every((one) => one === "whole"));
    assert.equal(server.connections, 6);
  });

  it("that announces one second are reused within it", async () => {
    const server = new StaleConnectionServer({ keepAliveSeconds: 1 });
    await server.start();
    const outcomes = await callInSequence(server, 6, 20);
    await server.stop();
    assert.ok(outcomes.every((one) => one === "whole"));
    assert.equal(server.connections, 1);
  });

  it("keep their idle limit when the server crashes during a request", async () => {
    const lifetime = new IdleLifetime();
    const before = lifetime.getLimitMs(performance.now());
    const server = new StaleConnectionServer({
      keepAliveSeconds: 10,
      crashesAfterMs: 200,
    });
    await server.start(lifetime);
    const outcomes = await callInSequence(server, 2, 10);
    await server.stop();
    assert.deepEqual(outcomes, ["whole", "broken"]);
    assert.equal(lifetime.getLimitMs(performance.now()), before);
  });

  it("are reused if one is idle, before a new one is established", async () => {
    const server = new StaleConnectionServer({ keepAliveSeconds: 10 });
    await server.start();
    await server.call(3);
    await callInSequence(server, 6, 10);
    await server.call(3);
    await server.stop();
    assert.equal(server.connections, 3);
  });
});

describe("reusable time of a connection", () => {
  it("is the time that the server announces, less a margin", () => {
    assert.equal(getReusableMs({ "keep-alive": "timeout=10" }), 9750);
    assert.equal(getReusableMs({ "keep-alive": "timeout=0" }), 0);
    assert.equal(getReusableMs({ connection: "close" }), 0);
    assert.ok(getReusableMs({}) > 0);
  });
});
