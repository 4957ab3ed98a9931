/**
 * Counters and quantiles of a process that serves callers.
 *
 * @module
 */
import type { CallerRetryOutcome } from "../entry/types.ts";
import type { EventLog } from "../events/event_log.ts";
import type { LinkFault } from "../messages/codec.ts";
import type { Priority } from "../messages/priority.ts";
import type { GroupUtilization } from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { ProcessMetrics } from "./process_metrics.ts";

/** What the gauges of a process show when the page is read. */
export interface MetricsSource {
  readonly inFlight: number;
  readonly queued: number;
  readonly settingsRevision: number;
  readonly olderOffers: number;
  /** Targets that warm up, as far as this process knows. */
  readonly coldTargets?: number;
  /** Requests sent to targets that warmed up, by pool. */
  readonly coldRequests?: ReadonlyMap<string, number>;
  /** Targets that asked this process to send them nothing now. */
  readonly backingOffTargets?: number;
  /** Targets that are listed though they have said that they leave. */
  readonly leavingTargets?: number;
  /** Backoffs that targets asked for, over the life of the process. */
  readonly backoffs?: number;
  /** What targets said of themselves that could not be understood, by the word. */
  readonly unreadableNotices?: ReadonlyMap<string, number>;
  /** Load and capacity of rank groups, in requests, by name. */
  readonly utilizations?: ReadonlyMap<string, GroupUtilization>;
}

/** What the process holds for its callers. */
export interface HeldBytesSource {
  readonly answerBytes: number;
  readonly bodyBytes: number;
  readonly limitBytes: number;
  readonly pausedCallers: number;
}

/** Counters and quantiles of a process that serves callers. */
export class Metrics extends ProcessMetrics {
  readonly #requests = this.metricsPage.counter(
    "requests_total",
    "Requests taken in",
  );
  readonly #answers = this.metricsPage.counter(
    "answers_total",
    "Whole answers given",
  );
  readonly #stale = this.metricsPage.counter(
    "stale_messages_total",
    "Messages of attempts that were over",
  );
  readonly #refusals = this.metricsPage.counter(
    "refusals_total",
    "Refusals by reason",
    "reason",
  );
  readonly #retries = this.metricsPage.counter(
    "retries_total",
    "Retries by reason",
    "reason",
  );
  readonly #faults = this.metricsPage.counter(
    "link_faults_total",
    "Links closed",
    "reason",
  );
  readonly #returns = this.metricsPage.counter(
    "returns_total",
    "Callers told when to return, and what became of those who did",
    "outcome",
  );
  readonly #wrongFields = this.metricsPage.counter(
    "settings_fields_wrong_total",
    "Fields of settings that had a wrong value",
  );
  readonly #heldBack = this.metricsPage.counter(
    "held_back_total",
    "Requests held back from rank groups near their capacity, by priority",
    "priority",
  );
  readonly #milliseconds = this.metricsPage.quantiles(
    "answer_milliseconds",
    "Time to the whole answer",
  );
  readonly #pauses = this.metricsPage.quantiles(
    "longest_pause_milliseconds",
    "Longest pause between two pieces of each answer",
  );
  readonly #firstByte = this.metricsPage.quantiles(
    "first_byte_milliseconds",
    "Time to the first byte of streamed answers",
  );

  #drainedDomains = 0;
  readonly #pausedAnswers = this.metricsPage.counter(
    "paused_answers_total",
    "Times that a back end was paused for a caller that reads slowly",
  );
  readonly #slowCallersCut = this.metricsPage.counter(
    "slow_callers_cut_total",
    "Callers whose connection was closed because held bytes exceeded the limit",
  );
  readonly #answerPauses = this.metricsPage.quantiles(
    "paused_answer_milliseconds",
    "How long back ends were paused for callers that read slowly",
  );

  /** Reads the gauges from `source` when the page is asked for. */
  constructor(source: () => MetricsSource, log: EventLog) {
    super(log);
    this.metricsPage.gauge(
      "in_flight",
      "Requests in flight",
      () => source().inFlight,
    );
    this.metricsPage.gauge(
      "queued",
      "Requests that wait",
      () => source().queued,
    );
    this.metricsPage.gauge(
      "settings_revision",
      "Settings in force",
      () => source().settingsRevision,
    );
    this.metricsPage.gauge(
      "settings_older_offers",
      "Settings that were older and ignored",
      () => source().olderOffers,
    );
    this.metricsPage.gauge(
      "drained_failure_domains",
      "Failure domains that operators drain",
      () => this.#drainedDomains,
    );
    this.metricsPage.gauge(
      "cold_targets",
      "Targets that warm up",
      () => source().coldTargets ?? 0,
    );
    this.metricsPage.counts({
      name: "cold_requests_total",
      help: "Requests sent to targets that warmed up",
      label: "pool",
      read: () => source().coldRequests ?? new Map(),
    });
    this.metricsPage.gauge(
      "backing_off_targets",
      "Targets that asked this entry to send them nothing now",
      () => source().backingOffTargets ?? 0,
    );
    this.metricsPage.gauge(
      "leaving_targets",
      "Targets that are listed though they have said that they leave",
      () => source().leavingTargets ?? 0,
    );
    this.metricsPage.counts({
      name: "notices_total",
      help:
        "What targets said of themselves: backoffs, and what could not be read",
      label: "word",
      read: () => readNotices(source()),
    });
    const readUtilizations =
      (read: (utilization: GroupUtilization) => number) => () =>
        new Map(
          [...source().utilizations ?? []].map((
            [group, utilization],
          ) => [group, read(utilization)]),
        );
    this.metricsPage.gauges({
      name: "group_load",
      help: "Requests that run and wait in rank groups, by the last report",
      label: "group",
      read: readUtilizations(({ load }) => load),
    });
    this.metricsPage.gauges({
      name: "group_capacity",
      help: "Requests that rank groups can process in time",
      label: "group",
      read: readUtilizations(({ capacity }) => Math.round(capacity)),
    });
  }

  /** Sets the number of drained failure domains. */
  setDrainedDomains(count: number): void {
    this.#drainedDomains = count;
  }

  /** A request was taken in. */
  countRequest(): void {
    this.#requests.inc();
  }

  /** A whole answer was given after so many milliseconds. */
  countAnswer(milliseconds: number): void {
    this.#answers.inc();
    this.#milliseconds.record(milliseconds);
  }

  /** A streamed answer began after so many milliseconds. */
  countFirstByte(milliseconds: number): void {
    this.#firstByte.record(milliseconds);
  }

  /** A caller was told when to return, or one that returned was served or refused. */
  countReturn(outcome: CallerRetryOutcome): void {
    this.#returns.inc({ outcome });
  }

  /** The longest pause between two pieces of an answer took so long. */
  countPause(milliseconds: number): void {
    this.#pauses.record(milliseconds);
  }

  /** Fields of settings had a wrong value. */
  countWrongFields(count: number): void {
    this.#wrongFields.inc(count);
  }

  /** A request was held back from a rank group that is near its capacity. */
  countHeldBack(priority: Priority): void {
    this.#heldBack.inc({ priority: String(priority) });
  }

  /** Shows the bytes held for callers when the page is asked for. */
  watchHeldBytes(held: HeldBytesSource): void {
    const { metricsPage } = this;
    metricsPage.gauge(
      "held_answer_bytes",
      "Bytes of answers that callers have not taken",
      () => held.answerBytes,
    );
    metricsPage.gauge(
      "held_body_bytes",
      "Bytes of request bodies",
      () => held.bodyBytes,
    );
    metricsPage.gauge(
      "held_limit_bytes",
      "Bytes that may be held for all callers",
      () => held.limitBytes,
    );
    metricsPage.gauge(
      "paused_callers",
      "Callers that read slowly, whose answers are read no further",
      () => held.pausedCallers,
    );
  }

  /** A back end was paused for its caller. */
  countPausedAnswer(): void {
    this.#pausedAnswers.inc();
  }

  /** A back end was resumed after so many milliseconds. */
  countAnswerPause(milliseconds: number): void {
    this.#answerPauses.record(milliseconds);
  }

  /** A caller's connection was closed because held bytes exceeded the limit. */
  countSlowCallerCut(): void {
    this.#slowCallersCut.inc();
  }

  /** A message belonged to no attempt under way. */
  countStale(): void {
    this.#stale.inc();
  }

  /** A request was refused or cut. */
  countRefusal(reason: RefusalName): void {
    this.#refusals.inc({ reason });
  }

  /** A request was sent again. */
  countRetry(reason: RefusalName): void {
    this.#retries.inc({ reason });
  }

  /** A connection was closed for a fault. */
  countLinkFault(reason: LinkFault): void {
    this.#faults.inc({ reason });
  }
}

function readNotices(
  { backoffs = 0, unreadableNotices = new Map() }: MetricsSource,
): ReadonlyMap<string, number> {
  const unreadable = [...unreadableNotices].map(([word, count]) =>
    [`unreadable_${word}`, count] as const
  );
  return new Map([["backoff", backoffs], ...unreadable]);
}
