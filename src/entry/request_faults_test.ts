/**
 * Guards against a process that ends because an exception of one request, or of one event,
 * is thrown below a timer or a connection, where nothing handles it. All other callers
 * lost their answers with it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { RandomSource } from "../core/random_source.ts";
import { EventLog } from "../events/event_log.ts";
import { Metrics } from "../process/metrics.ts";
import {
  createEmptyAnswer,
  createInstance,
  createRoutes,
} from "../testing/fixtures.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";
import { EntryReducer } from "./entry_reducer.ts";
import { RequestServer } from "./request_server.ts";
import type { TargetLink, TargetLinks } from "./target_links.ts";
import type { EntryEffect, EntryEvent } from "./types.ts";

/** Path of requests that cannot be sent. */
const BAD_PATH = "/confirm/bad";
const TARGET = "i-1";

/** A reducer that fails to reduce all events of a kind. */
class FailingReducer extends EntryReducer {
  failing: EntryEvent["kind"] | undefined;

  override reduce(event: EntryEvent): readonly EntryEffect[] {
    if (event.kind === this.failing) throw new TypeError("unexpected");
    return super.reduce(event);
  }
}

/** An entry whose only target answers all requests but those that cannot be sent. */
class FaultyEntry implements TargetLinks {
  readonly reducer = new FailingReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });
  readonly log = new EventLog({ role: "entry", processName: "test" });
  readonly #server: RequestServer;
  #address = "";

  constructor() {
    const source = { queued: 0, settingsRevision: 0, olderOffers: 0 };
    this.#server = new RequestServer({
      reducer: this.reducer,
      protocol: new OwnCallerProtocol(),
      metrics: new Metrics(() => ({ inFlight: 0, ...source }), this.log),
      log: this.log,
      onStalled: () => Promise.resolve(),
    });
    this.#server.setLinks(this);
  }

  /** Number of exceptions that were logged. */
  get faults(): number {
    return this.log.counts.get("INTERNAL_FAULT") ?? 0;
  }

  tryLink(targetName: string): TargetLink {
    return {
      send: (message) => {
        if (message.kind !== "submit") return;
        if (message.path === BAD_PATH) throw new TypeError("unexpected");
        setImmediate(() => {
          for (const part of createEmptyAnswer(message)) {
            const now = performance.now();
            const kind = "message_received";
            this.#server.dispatch({ kind, now, targetName, message: part });
          }
        });
      },
    };
  }

  async start(): Promise<void> {
    const now = performance.now();
    const routes = createRoutes();
    this.#server.dispatch({ kind: "settings_in_force", now, routes });
    this.#address = await findFreeAddress();
    await this.#server.listen(this.#address);
  }

  /** Lists the target, so that requests that wait for one are sent. */
  list(): void {
    const now = performance.now();
    const instances = [createInstance(TARGET)];
    this.#server.dispatch({ kind: "instances_listed", now, instances });
  }

  /** Returns the status of the answer, or 0 if the connection was closed without one. */
  async call(path: string): Promise<number> {
    try {
      const { statusCode, body } = await request(
        `http://${this.#address}${path}`,
        { method: "POST", body: "text" },
      );
      await body.dump();
      return statusCode;
    } catch {
      return 0;
    }
  }

  stop(): void {
    this.#server.close();
  }
}

describe("an exception while one request is sent", () => {
  const entry = new FaultyEntry();
  before(() => entry.start());
  after(() => entry.stop());

  it("ends that request, and others that waited with it are served", async () => {
    const paths = ["/confirm/1", BAD_PATH, "/confirm/2"];
    const calls = paths.map((path) => entry.call(path));
    await waitUntil("all wait", () => entry.reducer.inFlight === paths.length);
    entry.list();
    assert.deepEqual(await Promise.all(calls), [200, 0, 200]);
    assert.equal(entry.faults, 1);
    await waitUntil("none is left", () => entry.reducer.inFlight === 0);
  });
});

describe("an exception while an event is reduced", () => {
  const entry = new FaultyEntry();
  before(() => entry.start());
  after(() => entry.stop());

  it("ends neither the process nor the ticks that follow", async () => {
    entry.list();
    entry.reducer.failing = "tick";
    await waitUntil("several ticks failed", () => entry.faults >= 2);
    entry.reducer.failing = undefined;
    assert.equal(await entry.call("/confirm/1"), 200);
  });

  it("ends the request that the event concerns", async () => {
    entry.reducer.failing = "request_arrived";
    assert.equal(await entry.call("/confirm/2"), 0);
    entry.reducer.failing = undefined;
    assert.equal(await entry.call("/confirm/3"), 200);
  });
});
