/**
 * Stands in for the engines of a rank group: they run in lock-step on an expert
 * map, take orders, and count tokens. Every step is checked to have run with
 * one map on all ranks.
 *
 * @module
 */
import { Hono } from "hono";
import type { EngineOrder, RankLoad } from "../src/messages/group_types.ts";
import { createHonoListener } from "../src/process/hono_listener.ts";
import type { HttpListener } from "../src/process/http_listener.ts";
import { FakeEngine } from "../src/testing/fake_engine.ts";

/** Options of a {@link RankGroupStandIn}. */
export interface RankGroupOptions {
  readonly ranks: number;
  readonly stepMs: number;
  /** Tokens a step for each expert; one layer. */
  readonly tokens: readonly number[];
}

/** Stands in for the engines of a rank group. */
export class RankGroupStandIn {
  readonly #options: RankGroupOptions;
  readonly #engines: FakeEngine[];
  readonly #listeners: HttpListener[] = [];
  readonly #versions = new Set<number>();
  readonly #faults: string[] = [];
  #steps = 0;
  #timer: NodeJS.Timeout | undefined;
  /** Tokens a step for each expert; may be changed as the group runs. */
  tokens: readonly number[];

  /** Engines without a map, which do not step. */
  constructor(options: RankGroupOptions) {
    this.#options = options;
    this.tokens = options.tokens;
    // They ignore fencing numbers, so only the targets' own checks count.
    this.#engines = Array.from(
      { length: options.ranks },
      () => new FakeEngine(false),
    );
  }

  /** Steps that the whole group ran. */
  get steps(): number {
    return this.#steps;
  }

  /** Maps that some step ran with. */
  get versions(): number {
    return this.#versions.size;
  }

  /** Steps that ran with more than one map. */
  get faults(): readonly string[] {
    return this.#faults;
  }

  /** Number of the lock-step run of a rank. */
  incarnationOf(rank: number): number {
    return this.#engine(rank).state.incarnation;
  }

  /** Listens for one rank's orders. */
  async listen(rank: number, address: string): Promise<void> {
    const listener = createHonoListener(this.#createApplication(rank));
    this.#listeners.push(listener);
    await listener.listen(address);
  }

  /** Begins to step, as soon as the engines may. */
  start(): void {
    this.#timer = setInterval(() => this.#step(), this.#options.stepMs);
  }

  /** Another engine takes a rank's place, without a map. */
  replace(rank: number): void {
    this.#engines[rank] = new FakeEngine(false);
  }

  /** Closes. */
  close(): void {
    clearInterval(this.#timer);
    for (const listener of this.#listeners) listener.close();
  }

  #createApplication(rank: number): Hono {
    const app = new Hono();
    app.get(
      "/group/state",
      (context) => context.json(this.#engine(rank).state),
    );
    app.get("/group/load", (context) => context.json(this.#loadOf(rank)));
    app.post("/group/orders", async (context) => {
      const { order, fencingNumber } = await context.req.json<{
        readonly order: EngineOrder;
        readonly fencingNumber: number;
      }>();
      this.#engine(rank).carryOut(order, fencingNumber);
      return context.json(this.#engine(rank).state);
    });
    return app;
  }

  /** A rank may enter a step only when all have ended the one before. */
  #step(): void {
    const states = this.#engines.map((engine) => engine.state);
    const first = states[0];
    const isTogether = states.every((state) =>
      state.incarnation === first?.incarnation && state.step === first.step
    );
    const maps = this.#engines.map((engine) => engine.tryMapOfNextStep());
    if (!isTogether || maps.some((map) => map === undefined)) return;
    const versions = new Set(maps.map((map) => map?.version));
    if (versions.size > 1) this.#faults.push(`Step ${first?.step}`);
    for (const version of versions) this.#versions.add(version as number);
    for (const engine of this.#engines) engine.runStep();
    this.#steps++;
  }

  #loadOf(rank: number): RankLoad {
    const { maps, activeVersion } = this.#engine(rank).state;
    const map = maps.find((one) => one.version === activeVersion)?.map;
    const experts = map?.layers[0]?.experts ?? [];
    const own = experts[rank] ?? [];
    const all = experts.flat();
    const tokens = this.tokens.map((count, expert) => {
      const replicas = all.filter((one) => one === expert).length;
      const held = own.filter((one) => one === expert).length;
      return replicas === 0 ? 0 : count * held / replicas;
    });
    return { tokens: [tokens], slowdown: 1 };
  }

  #engine(rank: number): FakeEngine {
    return this.#engines[rank] as FakeEngine;
  }
}
