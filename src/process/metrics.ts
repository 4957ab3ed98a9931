/**
 * Metrics of a process that serves callers.
 *
 * @module
 */
import type { WaitOutcome } from "../entry/types.ts";
import type { EventLog } from "../events/event_log.ts";
import type { LinkFault } from "../messages/codec.ts";
import type { Priority } from "../messages/priority.ts";
import type { GroupUtilization } from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { ProcessMetrics } from "./process_metrics.ts";

/** Values of the gauges of a process at the time of a scrape. */
export interface MetricsSource {
  readonly inFlight: number;
  readonly queued: number;
  readonly settingsRevision: number;
  readonly olderOffers: number;
  /** Targets known to be warming up. */
  readonly coldTargets?: number;
  /** Requests sent to targets while these warmed up, by pool. */
  readonly coldRequests?: ReadonlyMap<string, number>;
  /** Targets that have requested a backoff from this process that is not over. */
  readonly backingOffTargets?: number;
  /** Targets that are still listed after they announced that they are leaving. */
  readonly leavingTargets?: number;
  /** Backoffs requested by targets since the process started. */
  readonly backoffs?: number;
  /** Notices of targets that could not be read, by the kind of the notice. */
  readonly unreadableNotices?: ReadonlyMap<string, number>;
  /** Load and capacity of rank groups, in requests, by name. */
  readonly utilizations?: ReadonlyMap<string, GroupUtilization>;
}

/** Bytes that the process holds for its callers. */
export interface HeldBytesSource {
  readonly answerBytes: number;
  readonly bodyBytes: number;
  readonly limitBytes: number;
  readonly pausedCallers: number;
}

/** Metrics of a process that serves callers. */
export class Metrics extends ProcessMetrics {
  readonly #requests = this.metricsPage.counter(
    "requests_total",
    "Requests received",
  );
  readonly #answers = this.metricsPage.counter(
    "answers_total",
    "Complete answers",
  );
  readonly #staleMessages = this.metricsPage.counter(
    "stale_messages_total",
    "Messages of attempts that had ended",
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
  readonly #linkFaults = this.metricsPage.counter(
    "link_faults_total",
    "Connections between processes that were closed for a fault",
    "reason",
  );
  readonly #waits = {
    sent: this.metricsPage.quantiles(
      "wait_until_sent_milliseconds",
      "How long requests that waited were held until they were sent",
    ),
    refused: this.metricsPage.quantiles(
      "wait_until_refused_milliseconds",
      "How long requests were held that were refused",
    ),
  };
  readonly #invalidFields = this.metricsPage.counter(
    "settings_fields_wrong_total",
    "Fields of settings whose value was not valid",
  );
  readonly #deferred = this.metricsPage.counter(
    "held_back_total",
    "Requests deferred because their rank group is near its capacity, by priority",
    "priority",
  );
  readonly #answerTimes = this.metricsPage.quantiles(
    "answer_milliseconds",
    "Time to the complete answer",
  );
  readonly #longestPauses = this.metricsPage.quantiles(
    "longest_pause_milliseconds",
    "Longest pause between two chunks of each answer",
  );
  readonly #firstByteTimes = this.metricsPage.quantiles(
    "first_byte_milliseconds",
    "Time to the first byte of streamed answers",
  );

  #drainedDomains = 0;
  readonly #pausedAnswers = this.metricsPage.counter(
    "paused_answers_total",
    "Answers that were paused for a caller that reads slowly",
  );
  readonly #slowCallersCut = this.metricsPage.counter(
    "slow_callers_cut_total",
    "Callers whose connection was closed because held bytes exceeded the limit",
  );
  readonly #pausedTimes = this.metricsPage.quantiles(
    "paused_answer_milliseconds",
    "How long answers were paused for callers that read slowly",
  );

  /** Creates the metrics; the gauges are read from `source` at each scrape. */
  constructor(source: () => MetricsSource, log: EventLog) {
    super(log);
    this.metricsPage.gauge(
      "in_flight",
      "Requests in flight",
      () => source().inFlight,
    );
    this.metricsPage.gauge(
      "queued",
      "Requests that wait for a target",
      () => source().queued,
    );
    this.metricsPage.gauge(
      "settings_revision",
      "Revision of the settings in force",
      () => source().settingsRevision,
    );
    this.metricsPage.gauge(
      "settings_older_offers",
      "Offered settings that were ignored because they were older",
      () => source().olderOffers,
    );
    this.metricsPage.gauge(
      "drained_failure_domains",
      "Drained failure domains",
      () => this.#drainedDomains,
    );
    this.metricsPage.gauge(
      "cold_targets",
      "Targets that are warming up",
      () => source().coldTargets ?? 0,
    );
    this.metricsPage.labelledCounter({
      name: "cold_requests_total",
      help: "Requests sent to targets while these warmed up",
      label: "pool",
      read: () => source().coldRequests ?? new Map(),
    });
    this.metricsPage.gauge(
      "backing_off_targets",
      "Targets that are backing off from this entry",
      () => source().backingOffTargets ?? 0,
    );
    this.metricsPage.gauge(
      "leaving_targets",
      "Targets that are still listed after they announced that they leave",
      () => source().leavingTargets ?? 0,
    );
    this.metricsPage.labelledCounter({
      name: "notices_total",
      help: "Notices of targets: backoffs, and notices that could not be read",
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
    this.metricsPage.labelledGauge({
      name: "group_load",
      help: "Running and queued requests of rank groups, by the last report",
      label: "group",
      read: readUtilizations(({ load }) => load),
    });
    this.metricsPage.labelledGauge({
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

  /** Counts a received request. */
  countRequest(): void {
    this.#requests.inc();
  }

  /** Counts a complete answer and records its duration. */
  countAnswer(milliseconds: number): void {
    this.#answers.inc();
    this.#answerTimes.record(milliseconds);
  }

  /** Records the time to the first byte of a streamed answer. */
  countFirstByte(milliseconds: number): void {
    this.#firstByteTimes.record(milliseconds);
  }

  /** Records how long a request was held until it was sent after a wait, or refused. */
  recordWait(outcome: WaitOutcome, milliseconds: number): void {
    this.#waits[outcome].record(milliseconds);
  }

  /** Records the longest pause between two chunks of an answer. */
  countPause(milliseconds: number): void {
    this.#longestPauses.record(milliseconds);
  }

  /** Counts fields of settings whose value is not valid. */
  countInvalidFields(count: number): void {
    this.#invalidFields.inc(count);
  }

  /** Counts a request that was deferred because its rank group is near its capacity. */
  countDeferred(priority: Priority): void {
    this.#deferred.inc({ priority: String(priority) });
  }

  /** Adds gauges for the bytes that are held for callers. */
  addHeldBytesGauges(held: HeldBytesSource): void {
    const { metricsPage } = this;
    metricsPage.gauge(
      "held_answer_bytes",
      "Bytes of answers that callers have not read",
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
      "Callers that read slowly and whose answers are paused",
      () => held.pausedCallers,
    );
  }

  /** Counts an answer that was paused for its caller. */
  countPausedAnswer(): void {
    this.#pausedAnswers.inc();
  }

  /** Records how long an answer was paused. */
  countAnswerPause(milliseconds: number): void {
    this.#pausedTimes.record(milliseconds);
  }

  /**
   * Counts a caller whose connection was closed because held bytes exceeded the limit.
   */
  countSlowCallerCut(): void {
    this.#slowCallersCut.inc();
  }

  /** Counts a message that belongs to no current attempt. */
  countStaleMessage(): void {
    this.#staleMessages.inc();
  }

  /** Counts a request that was refused or whose answer was cut off. */
  countRefusal(reason: RefusalName): void {
    this.#refusals.inc({ reason });
  }

  /** Counts a retry of a request. */
  countRetry(reason: RefusalName): void {
    this.#retries.inc({ reason });
  }

  /** Counts a connection between processes that was closed because of a fault. */
  countLinkFault(reason: LinkFault): void {
    this.#linkFaults.inc({ reason });
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
