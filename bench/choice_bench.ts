/**
 * Bench of the choice of a target: entries with views that lag, before servers
 * of which one may be slow, failing or frozen.
 *
 * Model: see server_model.ts. Nine entries in three failure domains send to
 * twelve servers; a message takes 0.5 ms within a domain and 1 ms beyond.
 * Reports come at most once a second, and one in twenty is lost.
 *
 * @module
 */
import { RandomSource } from "../src/core/random_source.ts";
import type { TargetRecord } from "../src/entry/target_record.ts";
import { TargetRegistry } from "../src/entry/target_registry.ts";
import { PrefixIndex } from "../src/policy/prefix_index.ts";
import {
  LeastReportedChoice,
  RoundRobinChoice,
  SCORED_CHOICE_DEFAULTS,
  ScoredChoice,
  type ScoredChoiceOptions,
  type TargetChoice,
  TwoRandomChoice,
} from "../src/policy/target_choice.ts";
import { EventQueue } from "../src/testing/event_queue.ts";
import {
  SERVER_CONCURRENCY,
  type ServerFault,
  ServerModel,
} from "./server_model.ts";

/** A workload of the bench. */
export interface ChoiceWorkload {
  readonly name: string;
  /** Prompts that requests share; 0: every prompt is its own. */
  readonly sharedPrompts: number;
  readonly fault: ServerFault;
  /** Requests a second, of all entries. */
  readonly requestsPerSecond: number;
}

/** A way to choose, as a name. */
export type ChoiceName =
  | "round robin"
  | "least reported"
  | "two random"
  | "ours, no prefixes"
  | "ours";

/** What one way of choosing did on one workload. */
export interface ChoiceResult {
  readonly workload: string;
  readonly choice: string;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  /** Milliseconds between tokens. */
  readonly betweenP95: number;
  /** Share of prompt blocks that were in a cache. */
  readonly hitShare: number;
  /** Highest load over mean load, mean over time. */
  readonly spread: number;
  /** Share of requests that were sent to the bad server. */
  readonly toBad: number;
  /** Share of requests without an answer within the limit. */
  readonly failed: number;
}

/** Workloads of the table. */
export const CHOICE_WORKLOADS: readonly ChoiceWorkload[] = [
  { name: "plain", sharedPrompts: 0, fault: "none", requestsPerSecond: 230 },
  { name: "shared", sharedPrompts: 120, fault: "none", requestsPerSecond: 230 },
  {
    name: "shared, one slow",
    sharedPrompts: 120,
    fault: "slow",
    requestsPerSecond: 200,
  },
  {
    name: "plain, one slow",
    sharedPrompts: 0,
    fault: "slow",
    requestsPerSecond: 200,
  },
  {
    name: "plain, one fails fast",
    sharedPrompts: 0,
    fault: "fails_fast",
    requestsPerSecond: 200,
  },
  {
    name: "plain, one frozen",
    sharedPrompts: 0,
    fault: "frozen",
    requestsPerSecond: 200,
  },
];

const ENTRIES = 9;
const SERVERS = 12;
const DOMAINS = 3;
const NEAR_MS = 0.5;
const FAR_MS = 1;
const REPORT_INTERVAL_MS = 1000;
const LOST_REPORTS = 0.05;
const COMPARE_INTERVAL_MS = 500;
const RUN_MS = 40_000;
const FAULT_AT_MS = 10_000;
const COUNT_FROM_MS = 5000;
const LIMIT_MS = 10_000;
const PROMPT_BLOCKS = 24;
const OWN_BLOCKS = 4;
const SHORT_PROMPT_BLOCKS = 8;
const MEAN_TOKENS = 80;
const BAD_SERVER = 4;
const SEED = 20261202;

/** Options of {@link runChoiceBench}. */
export interface ChoiceBenchOptions {
  readonly workloads?: readonly ChoiceWorkload[];
  readonly choices?: readonly ChoiceName[];
  /** Knobs of ours. */
  readonly scored?: Partial<ScoredChoiceOptions>;
}

/** Runs every way of choosing on every workload. */
export function runChoiceBench(
  options: ChoiceBenchOptions = {},
): readonly ChoiceResult[] {
  const choices = options.choices ?? [
    "round robin",
    "least reported",
    "two random",
    "ours, no prefixes",
    "ours",
  ];
  return (options.workloads ?? CHOICE_WORKLOADS).flatMap((workload) =>
    choices.map((choice) => new ChoiceRun(workload, choice, options).run())
  );
}

interface EntryModel {
  readonly domain: number;
  readonly registry: TargetRegistry;
  readonly prefixes: PrefixIndex;
  readonly choice: TargetChoice;
}

interface RequestModel {
  readonly id: number;
  readonly entry: EntryModel;
  readonly blocks: readonly string[];
  readonly tokens: number;
  readonly arrivedAt: number;
  isRetried: boolean;
  isOver: boolean;
}

class ChoiceRun {
  readonly #workload: ChoiceWorkload;
  readonly #name: ChoiceName;
  readonly #events = new EventQueue();
  readonly #random = new RandomSource(SEED);
  readonly #servers: readonly ServerModel[];
  readonly #entries: readonly EntryModel[];
  readonly #firstTokens: number[] = [];
  readonly #between: number[] = [];
  readonly #spreads: number[] = [];
  #counted = 0;
  #failed = 0;
  #toBad = 0;
  #sent = 0;
  #nextId = 1;

  constructor(
    workload: ChoiceWorkload,
    name: ChoiceName,
    options: ChoiceBenchOptions,
  ) {
    this.#workload = workload;
    this.#name = name;
    this.#servers = Array.from(
      { length: SERVERS },
      () => new ServerModel(this.#events),
    );
    this.#entries = Array.from({ length: ENTRIES }, (_, index) => ({
      domain: index % DOMAINS,
      registry: createRegistry(),
      prefixes: new PrefixIndex(),
      choice: createChoice(name, index, options.scored ?? {}),
    }));
  }

  run(): ChoiceResult {
    for (const [index] of this.#servers.entries()) this.#planReport(index);
    this.#planArrival();
    this.#planCompare();
    this.#events.after(FAULT_AT_MS, () => {
      (this.#servers[BAD_SERVER] as ServerModel).fault = this.#workload.fault;
    });
    this.#events.runUntil(RUN_MS + LIMIT_MS);
    return {
      workload: this.#workload.name,
      choice: this.#name,
      firstTokenP50: quantile(this.#firstTokens, 0.5),
      firstTokenP95: quantile(this.#firstTokens, 0.95),
      firstTokenP99: quantile(this.#firstTokens, 0.99),
      betweenP95: quantile(this.#between, 0.95),
      hitShare: mean(this.#servers.map((server) => server.hitShare)),
      spread: mean(this.#spreads),
      toBad: this.#toBad / Math.max(1, this.#sent),
      failed: this.#failed / this.#counted,
    };
  }

  #planArrival(): void {
    const mean = 1000 / this.#workload.requestsPerSecond;
    this.#events.after(this.#random.nextExponential(mean), () => {
      if (this.#events.now >= RUN_MS) return;
      this.#arrive();
      this.#planArrival();
    });
  }

  #arrive(): void {
    const request: RequestModel = {
      id: this.#nextId++,
      entry: this.#entries[this.#random.nextBelow(ENTRIES)] as EntryModel,
      blocks: this.#drawPrompt(),
      tokens: 1 + Math.floor(this.#random.nextExponential(MEAN_TOKENS)),
      arrivedAt: this.#events.now,
      isRetried: false,
      isOver: false,
    };
    if (request.arrivedAt >= COUNT_FROM_MS) this.#counted++;
    this.#send(request, undefined);
  }

  /** Shared prompts are drawn after Zipf, with an own part at their end. */
  #drawPrompt(): readonly string[] {
    const { sharedPrompts } = this.#workload;
    const id = this.#nextId;
    if (sharedPrompts === 0) return ownBlocks(id, SHORT_PROMPT_BLOCKS);
    const rank = Math.floor(sharedPrompts ** this.#random.nextFraction()) - 1;
    const shared = Array.from(
      { length: PROMPT_BLOCKS - OWN_BLOCKS },
      (_, index) => `shared-${rank}-${index}`,
    );
    return [...shared, ...ownBlocks(id, OWN_BLOCKS)];
  }

  #send(request: RequestModel, tried: string | undefined): void {
    const { entry, blocks, id } = request;
    const candidates = entry.registry.servingOf("plan")
      .filter((target) => target.name !== tried);
    const usesPrefixes = this.#name === "ours";
    const chosen = entry.choice.tryChoose(candidates, {
      now: this.#events.now,
      failureDomain: String(entry.domain),
      cachedBlocks: usesPrefixes
        ? entry.prefixes.countCachedBlocks(blocks)
        : undefined,
      promptBlocks: usesPrefixes ? blocks.length : 0,
    });
    const target = entry.registry.tryGet(chosen?.name ?? "") as TargetRecord;
    if (usesPrefixes) entry.prefixes.record(blocks, target.name);
    target.addInFlight(id, this.#events.now);
    const index = Number(target.name);
    if (this.#events.now >= FAULT_AT_MS) {
      this.#sent++;
      if (index === BAD_SERVER) this.#toBad++;
    }
    const distance = entry.domain === index % DOMAINS ? NEAR_MS : FAR_MS;
    this.#events.after(distance, () => this.#serve(request, target, distance));
    this.#events.after(LIMIT_MS, () => this.#expire(request, target));
  }

  #serve(request: RequestModel, target: TargetRecord, distance: number): void {
    const server = this.#servers[Number(target.name)] as ServerModel;
    const isTaken = server.tryServe({
      blocks: request.blocks,
      tokens: request.tokens,
      onFirstToken: () =>
        this.#events.after(distance, () => this.#first(request, target)),
      onDone: (milliseconds) =>
        this.#events.after(
          distance,
          () =>
            this.#done(request, target, { milliseconds, load: server.load }),
        ),
    });
    if (isTaken) return;
    this.#events.after(distance, () => this.#refused(request, target));
  }

  #first(request: RequestModel, target: TargetRecord): void {
    if (request.isOver) return;
    target.recordFirstByte(request.id, this.#events.now);
    if (request.arrivedAt < COUNT_FROM_MS) return;
    this.#firstTokens.push(this.#events.now - request.arrivedAt);
  }

  #done(
    request: RequestModel,
    target: TargetRecord,
    answer: { readonly milliseconds: number; readonly load: number },
  ): void {
    if (request.isOver) return;
    request.isOver = true;
    target.removeInFlight(request.id);
    target.recordAttempt(false, this.#events.now);
    target.recordConnection(undefined, this.#events.now);
    target.setReportedLoad(answer.load, this.#events.now);
    if (request.arrivedAt < COUNT_FROM_MS || request.tokens < 2) return;
    this.#between.push(answer.milliseconds / (request.tokens - 1));
  }

  #refused(request: RequestModel, target: TargetRecord): void {
    target.removeInFlight(request.id);
    target.recordAttempt(true, this.#events.now);
    if (request.isRetried) return this.#fail(request);
    request.isRetried = true;
    this.#send(request, target.name);
  }

  #expire(request: RequestModel, target: TargetRecord): void {
    if (request.isOver || target.ownInFlight === 0) return;
    request.isOver = true;
    target.removeInFlight(request.id);
    target.recordAttempt(true, this.#events.now);
    this.#fail(request);
  }

  #fail(request: RequestModel): void {
    request.isOver = true;
    if (request.arrivedAt < COUNT_FROM_MS) return;
    this.#failed++;
    // Left out, a failure would make a way of choosing look quick.
    this.#firstTokens.push(LIMIT_MS);
  }

  #planReport(index: number): void {
    const server = this.#servers[index] as ServerModel;
    this.#events.after(REPORT_INTERVAL_MS, () => {
      const { load, fault } = server;
      for (const entry of this.#entries) {
        if (this.#random.nextFraction() < LOST_REPORTS) continue;
        if (fault === "frozen") continue;
        entry.registry.tryGet(String(index))
          ?.setReportedLoad(load, this.#events.now);
      }
      if (index === 0) this.#measureSpread();
      this.#planReport(index);
    });
  }

  #measureSpread(): void {
    if (this.#events.now < COUNT_FROM_MS || this.#events.now > RUN_MS) return;
    const loads = this.#servers.map((server) => server.load);
    const average = mean(loads);
    if (average > 0) this.#spreads.push(Math.max(...loads) / average);
  }

  #planCompare(): void {
    this.#events.after(COMPARE_INTERVAL_MS, () => {
      for (const entry of this.#entries) {
        entry.registry.updateSlowness(this.#events.now);
      }
      this.#planCompare();
    });
  }
}

function createRegistry(): TargetRegistry {
  const registry = new TargetRegistry();
  for (let index = 0; index < SERVERS; index++) {
    registry.connect({
      name: String(index),
      incarnation: "1",
      failureDomain: String(index % DOMAINS),
      pool: "plan",
      concurrency: SERVER_CONCURRENCY,
    });
  }
  return registry;
}

function createChoice(
  name: ChoiceName,
  entry: number,
  scored: Partial<ScoredChoiceOptions>,
): TargetChoice {
  const random = new RandomSource(SEED + entry + 1);
  switch (name) {
    case "round robin":
      return new RoundRobinChoice();
    case "least reported":
      return new LeastReportedChoice();
    case "two random":
      return new TwoRandomChoice(random);
    case "ours, no prefixes":
    case "ours":
      return new ScoredChoice(random, { ...SCORED_CHOICE_DEFAULTS, ...scored });
  }
}

function ownBlocks(id: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `own-${id}-${index}`);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
}

function mean(values: readonly number[]): number {
  const total = values.reduce((sum, value) => sum + value, 0);
  return total / Math.max(1, values.length);
}
