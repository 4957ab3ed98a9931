/**
 * Benchmark of limits and retries: runs the fair queue and the retry budget against a
 * model of a pool, at loads up to four times its capacity.
 *
 * Model: the back ends of one pool run a fixed number of requests concurrently. Run
 * times are exponentially distributed. Callers set a deadline and do not retry.
 *
 * @module
 */
import { RandomSource } from "../src/core/random_source.ts";
import { DurationEstimate } from "../src/policy/duration_estimate.ts";
import { PRIORITIES_BY_NAME } from "../src/messages/priority.ts";
import { FairQueue, type QueuedItem } from "../src/policy/fair_queue.ts";
import { RetryBudget } from "../src/policy/retry_budget.ts";
import { EventQueue } from "../src/testing/event_queue.ts";

/** Results of one queue at one load. */
export interface LimitsResult {
  readonly case: string;
  /** Ratio of the load to the capacity. */
  readonly load: number;
  /** Ratio of the answers within the deadline to the capacity of the back ends. */
  readonly goodput: number;
  /** p99 of the time to the answer for organisations that do not flood. */
  readonly othersP99: number;
  /** p99 of the time to the answer for quick requests. */
  readonly quickP99: number;
  /**
   * Fraction of requests answered within the deadline, for organisations that do not
   * flood.
   */
  readonly othersAnswered: number;
}

/** Attempts for each request in one retry case, when every attempt fails. */
export interface RetryResult {
  readonly case: string;
  readonly attemptsPerRequest: number;
}

const CONCURRENCY = 32;
const MEAN_RUN_MS = 50;
const CAPACITY_PER_SECOND = CONCURRENCY * 1000 / MEAN_RUN_MS;
const QUEUE_LENGTH = 256;
const DEADLINE_MS = 1000;
const ARRIVALS_END_MS = 30_000;
const WARM_UP_END_MS = 3000;
const ORGANISATION_COUNT = 10;
const QUICK_FRACTION = 0.1;
const SEED = 20261202;

/** Name of a queue. */
export type QueueName = "first in, first out" | "ours";

interface WaitingRequest extends QueuedItem {
  readonly arrivedAt: number;
}

/** A queue that decides which request runs next. */
abstract class QueueModel {
  abstract add(request: WaitingRequest): void;
  abstract tryTake(now: number): WaitingRequest | undefined;
}

class FirstInFirstOutQueue extends QueueModel {
  readonly #requests: WaitingRequest[] = [];

  override add(request: WaitingRequest): void {
    if (this.#requests.length < QUEUE_LENGTH) this.#requests.push(request);
  }

  override tryTake(): WaitingRequest | undefined {
    return this.#requests.shift();
  }
}

class FairQueueModel extends QueueModel {
  readonly #queue = new FairQueue<WaitingRequest>(QUEUE_LENGTH);

  override add(request: WaitingRequest): void {
    this.#queue.add(request);
  }

  override tryTake(now: number): WaitingRequest | undefined {
    while (true) {
      const request = this.#queue.tryTake();
      if (request === undefined || request.startBy > now) return request;
    }
  }
}

/** A load on the model. */
export interface LimitsCase {
  readonly name: string;
  readonly load: number;
  /** Fraction of all requests that one organisation sends. */
  readonly floodFraction: number;
}

/** Loads in the order of the table. */
export const LIMITS_CASES: readonly LimitsCase[] = [
  { name: "even", load: 0.5, floodFraction: 0.1 },
  { name: "even", load: 1, floodFraction: 0.1 },
  { name: "even", load: 2, floodFraction: 0.1 },
  { name: "even", load: 3, floodFraction: 0.1 },
  { name: "even", load: 4, floodFraction: 0.1 },
  { name: "one floods", load: 3, floodFraction: 0.85 },
  { name: "without the flood", load: 0.45, floodFraction: 0 },
];

/** Runs both queues at every load. */
export function runLimitsBench(): readonly (LimitsResult & {
  readonly queue: QueueName;
})[] {
  return LIMITS_CASES.flatMap((limitsCase) => [
    {
      queue: "first in, first out" as const,
      ...runCase(limitsCase, new FirstInFirstOutQueue()),
    },
    { queue: "ours" as const, ...runCase(limitsCase, new FairQueueModel()) },
  ]);
}

function runCase(limitsCase: LimitsCase, queue: QueueModel): LimitsResult {
  const events = new EventQueue();
  const random = new RandomSource(SEED);
  const otherTimes: number[] = [];
  const quickTimes: number[] = [];
  let othersSent = 0;
  let answeredInTime = 0;
  const runTime = new DurationEstimate();
  let running = 0;

  function scheduleArrival(): void {
    const rate = limitsCase.load * CAPACITY_PER_SECOND;
    events.after(random.nextExponential(1000 / rate), () => {
      if (events.now >= ARRIVALS_END_MS) return;
      const startBy = events.now + DEADLINE_MS - runTime.upperMs;
      const request = {
        ...createRandomRequest(limitsCase, random, events.now),
        startBy,
      };
      if (isAfterWarmUp(request) && request.organisation !== "0") othersSent++;
      queue.add(request);
      startRequests();
      scheduleArrival();
    });
  }

  function startRequests(): void {
    while (running < CONCURRENCY) {
      const request = queue.tryTake(events.now);
      if (request === undefined) return;
      running++;
      const runMs = random.nextExponential(MEAN_RUN_MS);
      events.after(runMs, () => {
        running--;
        runTime.record(runMs);
        finish(request);
        startRequests();
      });
    }
  }

  function finish(request: WaitingRequest): void {
    const elapsedMs = events.now - request.arrivedAt;
    if (!isAfterWarmUp(request) || elapsedMs > DEADLINE_MS) return;
    answeredInTime++;
    if (request.priority === PRIORITIES_BY_NAME.quick) {
      quickTimes.push(elapsedMs);
    }
    if (request.organisation !== "0") otherTimes.push(elapsedMs);
  }

  scheduleArrival();
  events.runUntil(ARRIVALS_END_MS + 2 * DEADLINE_MS);
  const seconds = (ARRIVALS_END_MS - WARM_UP_END_MS) / 1000;
  return {
    case: limitsCase.name,
    load: limitsCase.load,
    goodput: answeredInTime / seconds / CAPACITY_PER_SECOND,
    othersP99: getQuantile(otherTimes, 0.99),
    quickP99: getQuantile(quickTimes, 0.99),
    othersAnswered: otherTimes.length / Math.max(1, othersSent),
  };
}

function createRandomRequest(
  limitsCase: LimitsCase,
  random: RandomSource,
  now: number,
): Omit<WaitingRequest, "startBy"> {
  const isFlood = random.nextFraction() < limitsCase.floodFraction;
  const isQuick = random.nextFraction() < QUICK_FRACTION;
  const organisation = isFlood
    ? 0
    : 1 + random.nextBelow(ORGANISATION_COUNT - 1);
  const priority = PRIORITIES_BY_NAME[isQuick ? "quick" : "normal"];
  return {
    organisation: String(organisation),
    weight: 1,
    priority,
    arrivedAt: now,
  };
}

function isAfterWarmUp(request: WaitingRequest): boolean {
  return request.arrivedAt >= WARM_UP_END_MS;
}

/** Computes the attempts for each request when every attempt fails. */
export function runRetryBench(): readonly RetryResult[] {
  return [
    { case: "no budget, up to 3 attempts", attemptsPerRequest: 3 },
    { case: "ours, share 0.1", attemptsPerRequest: getAttemptsPerRequest(0.1) },
  ];
}

function getAttemptsPerRequest(retryShare: number): number {
  const budget = new RetryBudget(retryShare);
  const requests = 10_000;
  let attempts = 0;
  for (let request = 0; request < requests; request++) {
    budget.recordRequest();
    attempts++;
    while (budget.tryTake()) attempts++;
  }
  return attempts / requests;
}

function getQuantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}
