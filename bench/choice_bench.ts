/**
 * Benchmark of target selection: entries whose load information is delayed send
 * requests to servers, one of which may be slow, fail fast or be frozen.
 *
 * Model: see server_model.ts. Nine entries in three failure domains send requests to
 * twelve servers. A message takes 0.5 ms within a failure domain and 1 ms between
 * domains. Each server reports its load once a second; one report in twenty is lost.
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

/** A workload of the benchmark. */
export interface ChoiceWorkload {
  readonly name: string;
  /** Number of prompt prefixes shared among requests; 0 if every prompt is unique. */
  readonly sharedPrompts: number;
  readonly fault: ServerFault;
  /** Requests per second from all entries together. */
  readonly requestsPerSecond: number;
}

/** Name of a target selection policy. */
export type ChoiceName =
  | "round robin"
  | "least reported"
  | "two random"
  | "ours, no prefixes"
  | "ours";

/** Results of one target selection policy on one workload. */
export interface ChoiceResult {
  readonly workload: string;
  readonly choice: string;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  /** 95th percentile of the mean milliseconds between tokens of an answer. */
  readonly betweenP95: number;
  /** Fraction of prompt blocks that were found in a server's cache. */
  readonly hitShare: number;
  /** Ratio of the highest server load to the mean server load, averaged over time. */
  readonly spread: number;
  /** Fraction of requests sent since the fault began that went to the faulty server. */
  readonly toBad: number;
  /** Fraction of requests that failed or timed out. */
  readonly failed: number;
}

/** Workloads in the order of the table. */
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

const ENTRY_COUNT = 9;
const SERVER_COUNT = 12;
const DOMAIN_COUNT = 3;
const SAME_DOMAIN_DELAY_MS = 0.5;
const CROSS_DOMAIN_DELAY_MS = 1;
const REPORT_INTERVAL_MS = 1000;
const LOST_REPORT_FRACTION = 0.05;
const SLOWNESS_UPDATE_INTERVAL_MS = 500;
const ARRIVALS_END_MS = 40_000;
const FAULT_START_MS = 10_000;
const WARM_UP_END_MS = 5000;
const REQUEST_TIMEOUT_MS = 10_000;
/** Includes the unique suffix. */
const SHARED_PROMPT_BLOCKS = 24;
const UNIQUE_SUFFIX_BLOCKS = 4;
const UNIQUE_PROMPT_BLOCKS = 8;
const MEAN_ANSWER_TOKENS = 80;
const FAULTY_SERVER_INDEX = 4;
const SEED = 20261202;

/** Options of {@link runChoiceBench}. */
export interface ChoiceBenchOptions {
  readonly workloads?: readonly ChoiceWorkload[];
  readonly choices?: readonly ChoiceName[];
  /** Options of {@link ScoredChoice}, in place of its defaults. */
  readonly scored?: Partial<ScoredChoiceOptions>;
}

/** Runs every target selection policy on every workload. */
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
    choices.map((choice) =>
      new ChoiceSimulation(workload, choice, options).run()
    )
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
  readonly answerTokens: number;
  readonly arrivedAt: number;
  isRetried: boolean;
  isFinished: boolean;
}

class ChoiceSimulation {
  readonly #workload: ChoiceWorkload;
  readonly #choiceName: ChoiceName;
  readonly #events = new EventQueue();
  readonly #random = new RandomSource(SEED);
  readonly #servers: readonly ServerModel[];
  readonly #entries: readonly EntryModel[];
  readonly #firstTokenTimes: number[] = [];
  readonly #tokenIntervals: number[] = [];
  readonly #loadSpreads: number[] = [];
  #countedRequests = 0;
  #failedRequests = 0;
  #sentToFaultyServer = 0;
  #sentSinceFault = 0;
  #nextRequestId = 1;

  constructor(
    workload: ChoiceWorkload,
    name: ChoiceName,
    options: ChoiceBenchOptions,
  ) {
    this.#workload = workload;
    this.#choiceName = name;
    this.#servers = Array.from(
      { length: SERVER_COUNT },
      () => new ServerModel(this.#events),
    );
    this.#entries = Array.from({ length: ENTRY_COUNT }, (_, index) => ({
      domain: index % DOMAIN_COUNT,
      registry: createRegistry(),
      prefixes: new PrefixIndex(),
      choice: createChoice(name, index, options.scored ?? {}),
    }));
  }

  run(): ChoiceResult {
    for (const [index] of this.#servers.entries()) this.#scheduleReport(index);
    this.#scheduleArrival();
    this.#scheduleSlownessUpdate();
    this.#events.after(FAULT_START_MS, () => {
      (this.#servers[FAULTY_SERVER_INDEX] as ServerModel).fault =
        this.#workload.fault;
    });
    this.#events.runUntil(ARRIVALS_END_MS + REQUEST_TIMEOUT_MS);
    return {
      workload: this.#workload.name,
      choice: this.#choiceName,
      firstTokenP50: getQuantile(this.#firstTokenTimes, 0.5),
      firstTokenP95: getQuantile(this.#firstTokenTimes, 0.95),
      firstTokenP99: getQuantile(this.#firstTokenTimes, 0.99),
      betweenP95: getQuantile(this.#tokenIntervals, 0.95),
      hitShare: getMean(this.#servers.map((server) => server.cacheHitFraction)),
      spread: getMean(this.#loadSpreads),
      toBad: this.#sentToFaultyServer / Math.max(1, this.#sentSinceFault),
      failed: this.#failedRequests / this.#countedRequests,
    };
  }

  #scheduleArrival(): void {
    const meanIntervalMs = 1000 / this.#workload.requestsPerSecond;
    this.#events.after(this.#random.nextExponential(meanIntervalMs), () => {
      if (this.#events.now >= ARRIVALS_END_MS) return;
      this.#handleArrival();
      this.#scheduleArrival();
    });
  }

  #handleArrival(): void {
    const request: RequestModel = {
      id: this.#nextRequestId++,
      entry: this.#entries[this.#random.nextBelow(ENTRY_COUNT)] as EntryModel,
      blocks: this.#createPrompt(),
      answerTokens: 1 +
        Math.floor(this.#random.nextExponential(MEAN_ANSWER_TOKENS)),
      arrivedAt: this.#events.now,
      isRetried: false,
      isFinished: false,
    };
    if (request.arrivedAt >= WARM_UP_END_MS) this.#countedRequests++;
    this.#send(request, undefined);
  }

  /**
   * Creates the blocks of a prompt. Shared prefixes are chosen by Zipf's law, and each
   * prompt ends with a unique suffix.
   */
  #createPrompt(): readonly string[] {
    const { sharedPrompts } = this.#workload;
    const id = this.#nextRequestId;
    if (sharedPrompts === 0) {
      return createUniqueBlocks(id, UNIQUE_PROMPT_BLOCKS);
    }
    const rank = Math.floor(sharedPrompts ** this.#random.nextFraction()) - 1;
    const shared = Array.from(
      { length: SHARED_PROMPT_BLOCKS - UNIQUE_SUFFIX_BLOCKS },
      (_, index) => `shared-${rank}-${index}`,
    );
    return [...shared, ...createUniqueBlocks(id, UNIQUE_SUFFIX_BLOCKS)];
  }

  #send(request: RequestModel, excludedTarget: string | undefined): void {
    const { entry, blocks, id } = request;
    const candidates = entry.registry.servingOf("plan")
      .filter((target) => target.name !== excludedTarget);
    const usesPrefixes = this.#choiceName === "ours";
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
    if (this.#events.now >= FAULT_START_MS) {
      this.#sentSinceFault++;
      if (index === FAULTY_SERVER_INDEX) this.#sentToFaultyServer++;
    }
    const delayMs = entry.domain === index % DOMAIN_COUNT
      ? SAME_DOMAIN_DELAY_MS
      : CROSS_DOMAIN_DELAY_MS;
    this.#events.after(
      delayMs,
      () => this.#submitToServer(request, target, delayMs),
    );
    this.#events.after(
      REQUEST_TIMEOUT_MS,
      () => this.#handleTimeout(request, target),
    );
  }

  #submitToServer(
    request: RequestModel,
    target: TargetRecord,
    delayMs: number,
  ): void {
    const server = this.#servers[Number(target.name)] as ServerModel;
    const isAccepted = server.tryServe({
      blocks: request.blocks,
      tokens: request.answerTokens,
      onFirstToken: () =>
        this.#events.after(
          delayMs,
          () => this.#handleFirstToken(request, target),
        ),
      onDone: (milliseconds) =>
        this.#events.after(
          delayMs,
          () =>
            this.#handleAnswerEnd(request, target, {
              milliseconds,
              load: server.load,
            }),
        ),
    });
    if (isAccepted) return;
    this.#events.after(delayMs, () => this.#handleRejection(request, target));
  }

  #handleFirstToken(request: RequestModel, target: TargetRecord): void {
    if (request.isFinished) return;
    target.recordFirstByte(request.id, this.#events.now);
    if (request.arrivedAt < WARM_UP_END_MS) return;
    this.#firstTokenTimes.push(this.#events.now - request.arrivedAt);
  }

  #handleAnswerEnd(
    request: RequestModel,
    target: TargetRecord,
    answer: { readonly milliseconds: number; readonly load: number },
  ): void {
    if (request.isFinished) return;
    request.isFinished = true;
    target.removeInFlight(request.id);
    target.recordAttempt(false, this.#events.now);
    target.recordConnection(undefined, this.#events.now);
    target.setReportedLoad(answer.load, this.#events.now);
    if (request.arrivedAt < WARM_UP_END_MS || request.answerTokens < 2) return;
    this.#tokenIntervals.push(answer.milliseconds / (request.answerTokens - 1));
  }

  #handleRejection(request: RequestModel, target: TargetRecord): void {
    target.removeInFlight(request.id);
    target.recordAttempt(true, this.#events.now);
    if (request.isRetried) return this.#recordFailure(request);
    request.isRetried = true;
    this.#send(request, target.name);
  }

  #handleTimeout(request: RequestModel, target: TargetRecord): void {
    if (request.isFinished || target.ownInFlight === 0) return;
    request.isFinished = true;
    target.removeInFlight(request.id);
    target.recordAttempt(true, this.#events.now);
    this.#recordFailure(request);
  }

  #recordFailure(request: RequestModel): void {
    request.isFinished = true;
    if (request.arrivedAt < WARM_UP_END_MS) return;
    this.#failedRequests++;
    // Without this, a policy whose requests fail would appear fast.
    this.#firstTokenTimes.push(REQUEST_TIMEOUT_MS);
  }

  #scheduleReport(index: number): void {
    const server = this.#servers[index] as ServerModel;
    this.#events.after(REPORT_INTERVAL_MS, () => {
      const { load, fault } = server;
      for (const entry of this.#entries) {
        if (this.#random.nextFraction() < LOST_REPORT_FRACTION) continue;
        if (fault === "frozen") continue;
        entry.registry.tryGet(String(index))
          ?.setReportedLoad(load, this.#events.now);
      }
      if (index === 0) this.#recordLoadSpread();
      this.#scheduleReport(index);
    });
  }

  #recordLoadSpread(): void {
    if (
      this.#events.now < WARM_UP_END_MS || this.#events.now > ARRIVALS_END_MS
    ) return;
    const loads = this.#servers.map((server) => server.load);
    const average = getMean(loads);
    if (average > 0) this.#loadSpreads.push(Math.max(...loads) / average);
  }

  #scheduleSlownessUpdate(): void {
    this.#events.after(SLOWNESS_UPDATE_INTERVAL_MS, () => {
      for (const entry of this.#entries) {
        entry.registry.updateSlowness(this.#events.now);
      }
      this.#scheduleSlownessUpdate();
    });
  }
}

function createRegistry(): TargetRegistry {
  const registry = new TargetRegistry();
  for (let index = 0; index < SERVER_COUNT; index++) {
    registry.connect({
      name: String(index),
      incarnation: "1",
      failureDomain: String(index % DOMAIN_COUNT),
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

function createUniqueBlocks(id: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `own-${id}-${index}`);
}

function getQuantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}

function getMean(values: readonly number[]): number {
  const total = values.reduce((sum, value) => sum + value, 0);
  return total / Math.max(1, values.length);
}
