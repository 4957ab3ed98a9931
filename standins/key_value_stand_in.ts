/**
 * In-memory stand-in for the platform's key-value service, with compare-and-swap,
 * revisions, long polling for changes, and faults that tests can inject.
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

/** Faults of a {@link KeyValueStandIn}. */
export interface KeyValueFaults {
  /** Whether every answer has status 503. */
  isDown: boolean;
  /** Delay of each answer. */
  delayMs: number;
  /** Number of upcoming swaps that take effect but are answered with status 500. */
  lostReplies: number;
  /** Whether reads return the values at the last {@link KeyValueStandIn.freezeReads}. */
  isStale: boolean;
}

const MAX_WAIT_MS = 20_000;

/** Stand-in for the platform's key-value service. */
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

  /** Number of calls so far. A read that waits for a change counts as one. */
  get calls(): number {
    return this.#calls;
  }

  /** Listens on an address. */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Stops listening. */
  close(): void {
    this.#listener.close();
  }

  /** Returns a copy of all values for {@link restore}. */
  backUp(): ReadonlyMap<string, StoredValue> {
    return new Map(this.#values);
  }

  /** Replaces all values by those of a backup. */
  restore(values: ReadonlyMap<string, StoredValue>): void {
    this.#values = new Map(values);
    this.#notifyWaiters();
  }

  /** Makes reads return the current values until `isStale` is set to false. */
  freezeReads(): void {
    this.#staleValues = new Map(this.#values);
    this.faults.isStale = true;
  }

  /** Returns a value regardless of the faults. */
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
    app.get("/v1/values/:key", (context) => this.#handleRead(context));
    app.put("/v1/values/:key", (context) => this.#handleSwap(context));
    return app;
  }

  async #handleRead(context: Context): Promise<Response> {
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

  async #handleSwap(context: Context): Promise<Response> {
    const key = context.req.param("key") as string;
    const { value, expectedRevision } = await context.req.json();
    const revision = this.#values.get(key)?.revision ?? 0;
    if (revision !== expectedRevision) {
      return context.json({ revision }, 409);
    }
    this.#values.set(key, { value, revision: revision + 1 });
    this.#notifyWaiters();
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
    const deadline = Date.now() + Math.min(waitMs, MAX_WAIT_MS);
    while ((this.#values.get(key)?.revision ?? 0) === after) {
      const remainingMs = deadline - Date.now();
      if (remainingMs <= 0 || this.faults.isDown) return;
      await this.#waitForWrite(remainingMs);
    }
  }

  #waitForWrite(limitMs: number): Promise<void> {
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

  #notifyWaiters(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}
