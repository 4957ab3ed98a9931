/**
 * Bench of limits and retries: the real queue and retry budget before a model
 * of a target, at loads up to four times its capacity.
 *
 * Model: one pool of targets whose back ends run a fixed number of requests at
 * once, each for an exponential time. Callers give a deadline and do not come
 * back.
 *
 * @module
 */
import { RandomSource } from "../src/core/random_source.ts";
import { PRIORITIES_BY_NAME } from "../src/messages/priority.ts";
import {
  FairQueue,
  getLatestStart,
  type QueuedItem,
} from "../src/policy/fair_queue.ts";
import { RetryBudget } from "../src/policy/retry_budget.ts";
import { EventQueue } from "../src/testing/event_queue.ts";

/** What a way of queueing did at one load. */
export interface LimitsResult {
  readonly case: string;
  /** Load over capacity. */
  readonly load: number;
  /** Answers within the deadline over what the back ends could give. */
  readonly goodput: number;
  /** p99 of the time to the answer of the organisations that do not flood. */
  readonly othersP99: number;
  /** p99 of the time to the answer of quick requests. */
  readonly quickP99: number;
  /** Share of the others' requests that got an answer in time. */
  readonly othersAnswered: number;
}

/** What retries cost when everything fails. */
export interface RetryResult {
  readonly case: string;
  readonly attemptsPerRequest: number;
}

const PLACES = 32;
const MEAN_RUN_MS = 50;
const CAPACITY_PER_SECOND = PLACES * 1000 / MEAN_RUN_MS;
const QUEUE_LENGTH = 256;
const DEADLINE_MS = 1000;
const RUN_MS = 30_000;
const COUNT_FROM_MS = 3000;
const ORGANISATIONS = 10;
const QUICK_SHARE = 0.1;
const SEED = 20261202;

/** A way of queueing. */
export type QueueName = "first in, first out" | "ours";

interface Work extends QueuedItem {
  readonly arrivedAt: number;
}

/** Takes work in, and gives out what is to run next. */
abstract class QueueModel {
  abstract add(work: Work): void;
  abstract tryTake(now: number): Work | undefined;
}

class FirstInFirstOut extends QueueModel {
  readonly #works: Work[] = [];

  override add(work: Work): void {
    if (this.#works.length < QUEUE_LENGTH) this.#works.push(work);
  }

  override tryTake(): Work | undefined {
    return this.#works.shift();
  }
}

class FairQueueModel extends QueueModel {
  readonly #queue = new FairQueue<Work>(QUEUE_LENGTH);

  override add(work: Work): void {
    this.#queue.add(work);
  }

  override tryTake(now: number): Work | undefined {
    while (true) {
      const work = this.#queue.tryTake();
      if (work === undefined || work.startBy > now) return work;
    }
  }
}

/** A load on the model. */
export interface LimitsCase {
  readonly name: string;
  readonly load: number;
  /** Share of all requests that one organisation sends. */
  readonly floodShare: number;
}

/** Loads of the table. */
export const LIMITS_CASES: readonly LimitsCase[] = [
  { name: "even", load: 0.5, floodShare: 0.1 },
  { name: "even", load: 1, floodShare: 0.1 },
  { name: "even", load: 2, floodShare: 0.1 },
  { name: "even", load: 3, floodShare: 0.1 },
  { name: "even", load: 4, floodShare: 0.1 },
  { name: "one floods", load: 3, floodShare: 0.85 },
  { name: "without the flood", load: 0.45, floodShare: 0 },
];

/** Runs both ways of queueing at every load. */
export function runLimitsBench(): readonly (LimitsResult & {
  readonly queue: QueueName;
})[] {
  return LIMITS_CASES.flatMap((one) => [
    {
      queue: "first in, first out" as const,
      ...runCase(one, new FirstInFirstOut()),
    },
    { queue: "ours" as const, ...runCase(one, new FairQueueModel()) },
  ]);
}

function runCase(limits: LimitsCase, queue: QueueModel): LimitsResult {
  const events = new EventQueue();
  const random = new RandomSource(SEED);
  const others: number[] = [];
  const quick: number[] = [];
  let othersSent = 0;
  let inTime = 0;
  let running = 0;

  function arrive(): void {
    const rate = limits.load * CAPACITY_PER_SECOND;
    events.after(random.nextExponential(1000 / rate), () => {
      if (events.now >= RUN_MS) return;
      const work = drawWork(limits, random, events.now);
      if (isCounted(work) && work.organisation !== "0") othersSent++;
      queue.add(work);
      startWork();
      arrive();
    });
  }

  function startWork(): void {
    while (running < PLACES) {
      const work = queue.tryTake(events.now);
      if (work === undefined) return;
      running++;
      events.after(random.nextExponential(MEAN_RUN_MS), () => {
        running--;
        finish(work);
        startWork();
      });
    }
  }

  function finish(work: Work): void {
    const taken = events.now - work.arrivedAt;
    if (!isCounted(work) || taken > DEADLINE_MS) return;
    inTime++;
    if (work.priority === PRIORITIES_BY_NAME.quick) quick.push(taken);
    if (work.organisation !== "0") others.push(taken);
  }

  arrive();
  events.runUntil(RUN_MS + 2 * DEADLINE_MS);
  const seconds = (RUN_MS - COUNT_FROM_MS) / 1000;
  return {
    case: limits.name,
    load: limits.load,
    goodput: inTime / seconds / CAPACITY_PER_SECOND,
    othersP99: quantile(others, 0.99),
    quickP99: quantile(quick, 0.99),
    othersAnswered: others.length / Math.max(1, othersSent),
  };
}

function drawWork(limits: LimitsCase, random: RandomSource, now: number): Work {
  const isFlood = random.nextFraction() < limits.floodShare;
  const isQuick = random.nextFraction() < QUICK_SHARE;
  const organisation = isFlood ? 0 : 1 + random.nextBelow(ORGANISATIONS - 1);
  const priority = PRIORITIES_BY_NAME[isQuick ? "quick" : "normal"];
  return {
    organisation: String(organisation),
    weight: 1,
    priority,
    arrivedAt: now,
    startBy: getLatestStart(now, DEADLINE_MS),
  };
}

function isCounted(work: Work): boolean {
  return work.arrivedAt >= COUNT_FROM_MS;
}

/** Attempts for each request when every attempt fails. */
export function runRetryBench(): readonly RetryResult[] {
  return [
    { case: "no budget, up to 3 attempts", attemptsPerRequest: 3 },
    { case: "ours, share 0.1", attemptsPerRequest: attemptsWith(0.1) },
  ];
}

function attemptsWith(share: number): number {
  const budget = new RetryBudget(share);
  const requests = 10_000;
  let attempts = 0;
  for (let request = 0; request < requests; request++) {
    budget.recordRequest();
    attempts++;
    while (budget.tryTake()) attempts++;
  }
  return attempts / requests;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
}
