/**
 * Guards against unbounded memory for answers that callers read slowly, and against
 * answers that are cut off but look complete to their callers.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { RandomSource } from "../core/random_source.ts";
import { DirectTargetPool } from "../direct/direct_target_pool.ts";
import { EventLog } from "../events/event_log.ts";
import { HttpBackEnd } from "../external/http_back_end.ts";
import { Metrics } from "../process/metrics.ts";
import { createInstance, createRoutes } from "../testing/fixtures.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";
import { EntryReducer } from "./entry_reducer.ts";
import { RequestServer } from "./request_server.ts";
import { MAX_GAP_MS } from "./stall_guard.ts";

const MIB = 1024 * 1024;
/** Larger than the buffers of two sockets and the limit of unsent bytes per caller. */
const ANSWER_BYTES = 16 * MIB;
const CLOSING_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const FRAMINGS = {
  "known length": `HTTP/1.1 200 OK\r\nContent-Length: ${ANSWER_BYTES}\r\n\r\n`,
  chunks: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${
    ANSWER_BYTES.toString(16)
  }\r\n`,
  "the end of its connection": `${CLOSING_HEAD}\r\n`,
} as const;

type FramingName = keyof typeof FRAMINGS;
const FRAMING_NAMES = Object.keys(FRAMINGS) as readonly FramingName[];

/** An entry with one back end, over real sockets. */
class SlowCallersFixture {
  /** Connections that the back end accepted. */
  readonly accepted: Socket[] = [];
  readonly callers: Socket[] = [];
  #address = "";
  readonly #metrics: Metrics;
  readonly #server: RequestServer;
  readonly #pool: DirectTargetPool;
  readonly #backEnd = createServer((socket) => {
    this.accepted.push(socket);
    socket.on("error", () => {/* Some tests reset the connection. */});
    socket.once("data", () => this.#sendAnswer(socket));
  });
  readonly #framing: FramingName;

  constructor(framing: FramingName, heldBytesLimit: number) {
    this.#framing = framing;
    const log = new EventLog({ role: "entry", processName: "test" });
    const source = { queued: 0, settingsRevision: 0, olderOffers: 0 };
    this.#metrics = new Metrics(() => ({ inFlight: 0, ...source }), log);
    this.#server = new RequestServer({
      reducer: new EntryReducer({
        failureDomain: "a",
        random: new RandomSource(1),
      }),
      protocol: new OwnCallerProtocol(),
      metrics: this.#metrics,
      log,
      heldBytesLimit,
      onStalled: async () => {},
    });
    this.#pool = new DirectTargetPool({
      createBackEnd: ({ address }) =>
        new HttpBackEnd({ address, maxConnections: 40 }),
      log,
      onMessage: (targetName, message) =>
        this.#server.dispatch({
          kind: "message_received",
          now: performance.now(),
          targetName,
          message,
        }),
      mayBegin: () => true,
    });
  }

  get openExchanges(): number {
    return this.#server.openExchanges;
  }

  async start(): Promise<void> {
    this.#backEnd.listen(0, "127.0.0.1");
    await once(this.#backEnd, "listening");
    const { port } = this.#backEnd.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const instances = [createInstance("i-1", { address, concurrency: 100 })];
    const now = performance.now();
    this.#pool.setInstances(instances);
    this.#server.setLinks(this.#pool);
    this.#server.dispatch({
      kind: "settings_in_force",
      now,
      routes: createRoutes(),
    });
    this.#server.dispatch({ kind: "instances_listed", now, instances });
    this.#address = await findFreeAddress();
    await this.#server.listen(this.#address);
  }

  stop(): void {
    for (const socket of [...this.callers, ...this.accepted]) socket.destroy();
    this.#server.close();
    this.#pool.close();
    this.#backEnd.close();
  }

  /** Connects a caller that sends a request and reads nothing. */
  connectCaller(headers = "", body = ""): Socket {
    const [host, port] = this.#address.split(":");
    const socket = connect(Number(port), host);
    socket.on(
      "error",
      () => {/* Cutting off a caller may reset the connection. */},
    );
    socket.pause();
    socket.write(`POST /confirm HTTP/1.1\r\nHost: a\r\n${headers}\r\n${body}`);
    this.callers.push(socket);
    return socket;
  }

  /** Reads the value of a counter or gauge. */
  async readMetric(name: string): Promise<number> {
    const { text } = await this.#metrics.pages["/metrics"]!();
    return Number(
      new RegExp(`^lagoonwharf_${name} (.*)$`, "m").exec(text)?.[1],
    );
  }

  /** Waits until a number of back ends are paused. */
  async waitForPaused(count: number): Promise<void> {
    await waitUntil(
      `${count} back ends are paused`,
      async () => await this.readMetric("paused_callers") >= count,
    );
  }

  #sendAnswer(socket: Socket): void {
    socket.write(FRAMINGS[this.#framing]);
    socket.write(Buffer.alloc(ANSWER_BYTES, "~"));
    if (this.#framing === "chunks") socket.write("\r\n0\r\n\r\n");
    if (this.#framing === "the end of its connection") socket.end();
  }
}

/** Reads an answer to the end; returns how it looks to its caller. */
async function readAll(socket: Socket, framing: FramingName): Promise<string> {
  let bodyBytes = 0;
  const isEnded = await new Promise<boolean>((resolve) => {
    socket.on("data", (chunk) => {
      const headEnd = bodyBytes === 0 ? chunk.indexOf("\r\n\r\n") + 4 : 0;
      bodyBytes += chunk.length - headEnd;
      const isLast = framing === "known length"
        ? bodyBytes === ANSWER_BYTES
        : chunk.subarray(-LAST_CHUNK.length).equals(LAST_CHUNK);
      if (isLast) resolve(true);
    });
    socket.once("close", () => resolve(false));
    socket.resume();
  });
  if (!isEnded) return "cut";
  // With chunked encoding, the chunk headers count as well.
  return bodyBytes >= ANSWER_BYTES ? "whole" : "short, but looks complete";
}

const LAST_CHUNK = Buffer.from("0\r\n\r\n");

/** Blocks the event loop, as in a process that gets no CPU time. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) { /* Nothing else runs. */ }
}

let fixture: SlowCallersFixture;

async function start(
  framing: FramingName,
  limit = 32 * MIB,
): Promise<SlowCallersFixture> {
  fixture = new SlowCallersFixture(framing, limit);
  await fixture.start();
  return fixture;
}

describe("callers that read slowly", () => {
  afterEach(() => fixture.stop());

  for (const framing of FRAMING_NAMES) {
    it(`get a complete answer with ${framing}, of which the entry holds little`, async () => {
      await start(framing);
      const caller = fixture.connectCaller();
      await fixture.waitForPaused(1);
      await delay(300);
      assert.ok(await fixture.readMetric("held_answer_bytes") < MIB);
      assert.equal(await readAll(caller, framing), "whole");
    });

    it(`are cut off and see that they are, when answers with ${framing} exceed the limit`, async () => {
      await start(framing, MIB);
      for (let count = 0; count < 8; count++) fixture.connectCaller();
      await waitUntil(
        "a caller is cut",
        async () => await fixture.readMetric("slow_callers_cut_total") > 0,
      );
      await delay(300);
      assert.ok(await fixture.readMetric("held_answer_bytes") <= MIB);
      const cut = await fixture.readMetric("slow_callers_cut_total");
      const outcomes: string[] = [];
      for (const caller of fixture.callers) {
        outcomes.push(await readAll(caller, framing));
      }
      const cutCount = outcomes.filter((outcome) => outcome === "cut").length;
      assert.ok(cutCount >= cut, `${cutCount} of ${cut}`);
      assert.ok(!outcomes.some((outcome) => outcome.startsWith("short")));
    });

    it(`are cut off when the back end of an answer with ${framing} is reset`, async () => {
      await start(framing);
      const caller = fixture.connectCaller();
      await fixture.waitForPaused(1);
      Object.assign(fixture.accepted[0] ?? {}, { resetAndClosing: true });
      fixture.accepted[0]?.destroy();
      await waitUntil(
        "the reset is detected",
        async () => await Promise.resolve(fixture.openExchanges === 0),
      );
      assert.equal(await readAll(caller, framing), "cut");
    });
  }

  // After a stall, events are deferred for a turn of the event loop; nothing is written.
  it("get a complete answer although the process stalls repeatedly", async () => {
    await start("known length", MIB);
    const caller = fixture.connectCaller();
    await fixture.waitForPaused(1);
    let bytesUntilStall = 0;
    caller.on("data", (chunk) => {
      bytesUntilStall -= chunk.length;
      if (bytesUntilStall > 0) return;
      bytesUntilStall = 3 * MIB;
      blockEventLoop(MAX_GAP_MS + 100);
    });
    caller.pause();
    assert.equal(await readAll(caller, "known length"), "whole");
  });

  it("are cut off at their deadline while their back end is paused", async () => {
    await start("known length");
    const caller = fixture.connectCaller("lagoonwharf-deadline-ms: 900\r\n");
    await fixture.waitForPaused(1);
    await waitUntil(
      "the deadline has passed",
      async () => await Promise.resolve(fixture.openExchanges === 0),
    );
    assert.equal(await readAll(caller, "known length"), "cut");
    assert.equal(await fixture.readMetric("held_answer_bytes"), 0);
  });

  it("release their back end when they disconnect while it is paused", async () => {
    await start("known length");
    const caller = fixture.connectCaller();
    await fixture.waitForPaused(1);
    const [connection] = fixture.accepted;
    assert.ok(connection !== undefined);
    const closed = new Promise((resolve) => connection.once("close", resolve));
    caller.destroy();
    await closed;
    await waitUntil(
      "nothing is held",
      async () => await fixture.readMetric("held_answer_bytes") === 0,
    );
  });
});

describe("callers with bodies that exceed the limit", () => {
  afterEach(() => fixture.stop());

  const length = 900 * 1024;
  const large = "b".repeat(length);
  const BODY_FORMS = {
    "is known": [`Content-Length: ${length}\r\n`, ""],
    "is not known": [
      "Transfer-Encoding: chunked\r\n",
      `${length.toString(16)}\r\n${large}\r\n`,
    ],
  } as const;
  for (const [name, [headers, body]] of Object.entries(BODY_FORMS)) {
    it(`are refused beside another one, and nothing is sent to a back end, if the length ${name}`, async () => {
      await start("known length", MIB);
      // Its answer is not read, so that its body is held.
      fixture.connectCaller(`Content-Length: ${length}\r\n`, large);
      await fixture.waitForPaused(1);
      const caller = fixture.connectCaller(headers, body);
      let text = "";
      caller.setEncoding("latin1").on("data", (chunk) => text += chunk);
      caller.resume();
      await once(caller, "close");
      assert.match(text, /^HTTP\/1.1 503 /);
      assert.match(text, /connection: close/i);
      assert.match(text, /5038/);
      assert.equal(fixture.accepted.length, 1);
      assert.equal(await fixture.readMetric("held_body_bytes"), length);
    });
  }
});
