/**
 * Stand-in for the engines of a rank group. The engines run in lock-step with an expert
 * map, execute orders and count tokens. Steps in which ranks use different maps are
 * recorded as faults.
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
  /** Tokens per step for each expert of the only layer. */
  readonly tokens: readonly number[];
}

/** Stand-in for the engines of a rank group. */
export class RankGroupStandIn {
  readonly #options: RankGroupOptions;
  readonly #engines: FakeEngine[];
  readonly #listeners: HttpListener[] = [];
  readonly #versions = new Set<number>();
  readonly #mixedMapSteps: string[] = [];
  #steps = 0;
  #timer: NodeJS.Timeout | undefined;
  /** Tokens per step for each expert. May be changed while the group runs. */
  tokens: readonly number[];

  /** Creates engines without a map, which do not step. */
  constructor(options: RankGroupOptions) {
    this.#options = options;
    this.tokens = options.tokens;
    // The engines ignore fencing numbers, so that tests depend on the checks of the
    // targets alone.
    this.#engines = Array.from(
      { length: options.ranks },
      () => new FakeEngine(false),
    );
  }

  /** Number of steps that the whole group ran. */
  get steps(): number {
    return this.#steps;
  }

  /** Number of maps that were used in a step. */
  get usedMapCount(): number {
    return this.#versions.size;
  }

  /** Steps in which ranks used different maps. */
  get mixedMapSteps(): readonly string[] {
    return this.#mixedMapSteps;
  }

  /** Returns the incarnation of a rank's engine, which numbers its lock-step runs. */
  getIncarnation(rank: number): number {
    return this.#getEngine(rank).state.incarnation;
  }

  /** Listens on an address for the requests to one rank's engine. */
  async listen(rank: number, address: string): Promise<void> {
    const listener = createHonoListener(this.#createApplication(rank));
    this.#listeners.push(listener);
    await listener.listen(address);
  }

  /** Starts to step whenever the engines are ready for a step. */
  start(): void {
    this.#timer = setInterval(() => this.#step(), this.#options.stepMs);
  }

  /** Replaces a rank's engine by one without a map. */
  replaceEngine(rank: number): void {
    this.#engines[rank] = new FakeEngine(false);
  }

  /** Stops stepping and listening. */
  close(): void {
    clearInterval(this.#timer);
    for (const listener of this.#listeners) listener.close();
  }

  #createApplication(rank: number): Hono {
    const app = new Hono();
    app.get(
      "/group/state",
      (context) => context.json(this.#getEngine(rank).state),
    );
    app.get("/group/load", (context) => context.json(this.#getLoad(rank)));
    app.post("/group/orders", async (context) => {
      const { order, fencingNumber } = await context.req.json<{
        readonly order: EngineOrder;
        readonly fencingNumber: number;
      }>();
      this.#getEngine(rank).execute(order, fencingNumber);
      return context.json(this.#getEngine(rank).state);
    });
    return app;
  }

  /** Runs a step if all ranks have finished the previous step and have a map. */
  #step(): void {
    const states = this.#engines.map((engine) => engine.state);
    const first = states[0];
    const isInLockStep = states.every((state) =>
      state.incarnation === first?.incarnation && state.step === first.step
    );
    const maps = this.#engines.map((engine) => engine.tryGetNextMap());
    if (!isInLockStep || maps.some((map) => map === undefined)) return;
    const versions = new Set(maps.map((map) => map?.version));
    if (versions.size > 1) this.#mixedMapSteps.push(`Step ${first?.step}`);
    for (const version of versions) this.#versions.add(version as number);
    for (const engine of this.#engines) engine.runStep();
    this.#steps++;
  }

  #getLoad(rank: number): RankLoad {
    const { maps, activeVersion } = this.#getEngine(rank).state;
    const map = maps.find((candidate) => candidate.version === activeVersion)
      ?.map;
    const experts = map?.layers[0]?.experts ?? [];
    const ownExperts = experts[rank] ?? [];
    const allExperts = experts.flat();
    const tokens = this.tokens.map((count, expert) => {
      const replicas = allExperts.filter((other) => other === expert).length;
      const ownReplicas = ownExperts.filter((other) => other === expert).length;
      return replicas === 0 ? 0 : count * ownReplicas / replicas;
    });
    return { tokens: [tokens], slowdown: 1 };
  }

  #getEngine(rank: number): FakeEngine {
    return this.#engines[rank] as FakeEngine;
  }
}
