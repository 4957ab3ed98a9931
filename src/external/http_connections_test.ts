/**
 * Servers that forgot connections after 0.3 s of rest, though they promised ten seconds,
 * cost two new connections a request and the requests that met a dead one. Cause: the
 * client library's pool trusted the promise, closed none of the others after it had met
 * one that was dead, and made a new connection while another one rested; and it used none
 * a second time whose server promised less than two seconds.
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
import { getUsableMs } from "./http_connections.ts";

interface ForgettingServerOptions {
  /** Milliseconds of rest after which it resets what is sent on a connection. */
  readonly forgetsAfterMs?: number;
  /** Seconds that it promises; undefined: nothing is promised. */
  readonly promises?: number;
  readonly closesEach?: boolean;
  /** Milliseconds after which it resets what it works at, from the second call on. */
  readonly crashesAfterMs?: number;
}

/** A server that counts its connections, and the way to it. */
class ForgettingServer {
  connections = 0;
  readonly #options: ForgettingServerOptions;
  readonly #restsSince = new WeakMap<Socket, number>();
  readonly #server = createServer((request, response) => {
    const { promises, closesEach } = this.#options;
    if (promises !== undefined) {
      response.setHeader("keep-alive", `timeout=${promises}`);
    }
    if (closesEach) response.setHeader("connection", "close");
    request.resume();
    const { crashesAfterMs } = this.#options;
    if (crashesAfterMs !== undefined && this.#restsSince.has(request.socket)) {
      setTimeout(() => request.socket.resetAndDestroy(), crashesAfterMs);
      return;
    }
    response.once(
      "finish",
      () => this.#restsSince.set(request.socket, performance.now()),
    );
    response.end("answer");
  });
  #backEnd: HttpBackEnd | undefined;

  constructor(options: ForgettingServerOptions) {
    this.#options = options;
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => this.#onConnection(socket));
  }

  async start(lifetime = new IdleLifetime()): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.#backEnd = new HttpBackEnd({
      address: `127.0.0.1:${port}`,
      connections: 48,
      lifetime,
    });
  }

  /** Calls it so often at once; returns how the calls ended. */
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
    socket.on("error", () => {/* Resets are what this server is about. */});
    socket.prependListener("data", () => {
      const since = this.#restsSince.get(socket);
      if (since === undefined) return;
      const rested = performance.now() - since;
      const { forgetsAfterMs = Infinity } = this.#options;
      if (rested >= forgetsAfterMs) socket.resetAndDestroy();
    });
  }
}

/** How calls ended that were made one after the other, so far apart. */
async function callInTurn(
  server: ForgettingServer,
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
    const server = new ForgettingServer({ forgetsAfterMs: 100, promises: 10 });
    await server.start();
    await server.call(3);
    await sleep(150);
    const outcomes = await callInTurn(server, 8, 150);
    await server.stop();
    assert.equal(outcomes.filter((one) => one !== "whole").length, 1);
    assert.ok(server.connections <= 3 + 7, `${server.connections} made`);
  });

  it("are given up at all servers of the pool once one was dead", async () => {
    const lifetime = new IdleLifetime();
    const servers = Array.from(
      { length: 4 },
      () => new ForgettingServer({ forgetsAfterMs: 100, promises: 10 }),
    );
    for (const server of servers) await server.start(lifetime);
    for (const server of servers) await server.call();
    await sleep(150);
    const outcomes: string[] = [];
    for (const server of servers) outcomes.push(...await server.call());
    for (const server of servers) await server.stop();
    assert.deepEqual(outcomes, ["broken", "whole", "whole", "whole"]);
  });

  it("that closes after each answer are one a request", async () => {
    const server = new ForgettingServer({ closesEach: true });
    await server.start();
    const outcomes = await callInTurn(server, 6, 10);
    await server.stop();
    assert.ok(outcomes.every((one) => one === "whole"));
    assert.equal(server.connections, 6);
  });

  it("that promises one second are used again within it", async () => {
    const server = new ForgettingServer({ promises: 1 });
    await server.start();
    const outcomes = await callInTurn(server, 6, 20);
    await server.stop();
    assert.ok(outcomes.every((one) => one === "whole"));
    assert.equal(server.connections, 1);
  });

  it("last as long as before when the server crashes at its work", async () => {
    const lifetime = new IdleLifetime();
    const before = lifetime.getLimitMs(performance.now());
    const server = new ForgettingServer({ promises: 10, crashesAfterMs: 200 });
    await server.start(lifetime);
    const outcomes = await callInTurn(server, 2, 10);
    await server.stop();
    assert.deepEqual(outcomes, ["whole", "broken"]);
    assert.equal(lifetime.getLimitMs(performance.now()), before);
  });

  it("are taken from those that rest before a new one is made", async () => {
    const server = new ForgettingServer({ promises: 10 });
    await server.start();
    await server.call(3);
    await callInTurn(server, 6, 10);
    await server.call(3);
    await server.stop();
    assert.equal(server.connections, 3);
  });
});

describe("a connection's rest", () => {
  it("is as long as the server says, less a margin", () => {
    assert.equal(getUsableMs({ "keep-alive": "timeout=10" }), 9750);
    assert.equal(getUsableMs({ "keep-alive": "timeout=0" }), 0);
    assert.equal(getUsableMs({ connection: "close" }), 0);
    assert.ok(getUsableMs({}) > 0);
  });
});
