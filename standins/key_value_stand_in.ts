/**
 * Stands in for the platform's key-value service, in memory: compare-and-swap,
 * watches that wait, revisions; with switches for what can go wrong.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Context, Hono } from "hono";
import { createHonoListener } from "../src/process/hono_listener.ts";

interface StoredValue {
  readonly value: string;
  readonly revision: number;
}

/** What goes wrong. */
export interface KeyValueFaults {
  /** Answers nothing but status 503. */
  isDown: boolean;
  /** Milliseconds before each answer. */
  delayMs: number;
  /** Swaps that take effect but whose reply is lost. */
  lostReplies: number;
  /** Reads are served from the state at the time this was set. */
  isStale: boolean;
}

const LONGEST_WAIT_MS = 20_000;

/** Stands in for the platform's key-value service. */
export class KeyValueStandIn {
  readonly faults: KeyValueFaults = {
    isDown: false,
    delayMs: 0,
    lostReplies: 0,
    isStale: false,
  };
  #values = new Map<string, StoredValue>();
  #staleValues = new Map<string, StoredValue>();
  #waiters = new Set<() => void>();
  #calls = 0;
  readonly #listener = createHonoListener(this.#createApplication());

  /** Calls so far, a waiting watch counted as one. */
  get calls(): number {
    return this.#calls;
  }

  /** Listens. */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Closes. */
  close(): void {
    this.#listener.close();
  }

  /** A copy of all values, to be given to {@link restore}. */
  backUp(): ReadonlyMap<string, StoredValue> {
    return new Map(this.#values);
  }

  /** Goes back to an older state. */
  restore(values: ReadonlyMap<string, StoredValue>): void {
    this.#values = new Map(values);
    this.#wake();
  }

  /** Serves reads from the state of now until `isStale` is taken back. */
  freezeReads(): void {
    this.#staleValues = new Map(this.#values);
    this.faults.isStale = true;
  }

  /** A value, past all faults. */
  tryPeek(key: string): StoredValue | undefined {
    return this.#values.get(key);
  }

  #createApplication(): Hono {
    const app = new Hono();
    app.use("*", async (context, next) => {
      this.#calls++;
      if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
      if (this.faults.isDown) return context.text("down", 503);
      await next();
      return undefined;
    });
    app.get("/v1/values/:key", (context) => this.#read(context));
    app.put("/v1/values/:key", (context) => this.#swap(context));
    return app;
  }

  async #read(context: Context): Promise<Response> {
    const key = context.req.param("key") as string;
    const after = context.req.query("after");
    if (after !== undefined) {
      await this.#waitForChange(
        key,
        Number(after),
        Number(context.req.query("waitMs") ?? 0),
      );
    }
    if (this.faults.isDown) return context.text("down", 503);
    const values = this.faults.isStale ? this.#staleValues : this.#values;
    const stored = values.get(key);
    if (stored === undefined) return context.text("none", 404);
    return context.json(stored);
  }

  async #swap(context: Context): Promise<Response> {
    const key = context.req.param("key") as string;
    const { value, expectedRevision } = await context.req.json();
    const revision = this.#values.get(key)?.revision ?? 0;
    if (revision !== expectedRevision) {
      return context.json({ revision }, 409);
    }
    this.#values.set(key, { value, revision: revision + 1 });
    this.#wake();
    if (this.faults.lostReplies > 0) {
      this.faults.lostReplies--;
      return context.text("lost", 500);
    }
    return context.json({ revision: revision + 1 });
  }

  async #waitForChange(
    key: string,
    after: number,
    waitMs: number,
  ): Promise<void> {
    const end = Date.now() + Math.min(waitMs, LONGEST_WAIT_MS);
    while ((this.#values.get(key)?.revision ?? 0) === after) {
      const left = end - Date.now();
      if (left <= 0 || this.faults.isDown) return;
      await this.#nextWake(left);
    }
  }

  #nextWake(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs).unref();
      this.#waiters.add(wake);
    });
  }

  #wake(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}
