/**
 * The target role as one reducer: queues, admits, runs and cancels requests, and is the
 * only authority on which requests ran.
 *
 * Only {@link TargetReducer} reports submissions as `not-run`, and only for requests that
 * the back end never started.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import { SLOT_COUNT } from "../core/idempotency_key.ts";
import type {
  BackEndNotice,
  BackoffNotice,
} from "../messages/back_end_notice.ts";
import { parseBackoff } from "../messages/notice_reader.ts";
import type {
  CancelMessage,
  Message,
  SubmitMessage,
} from "../messages/types.ts";
import { TargetBackoffs } from "../policy/target_backoffs.ts";
import { AnswerTimes } from "../policy/answer_times.ts";
import { FairQueue } from "../policy/fair_queue.ts";
import { isNotRun } from "../external/back_end.ts";
import { getRefusalReason } from "../external/back_end_failures.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { KeyLedger } from "./key_ledger.ts";
import { KeyGate } from "./key_gate.ts";
import { LoadReporter } from "./load_reporter.ts";
import { Run, type RunOwner } from "./run.ts";
import { TargetReplies } from "./target_replies.ts";
import type {
  BackEndData,
  BackEndEnd,
  BackEndFailed,
  BackEndHead,
  ClaimsConfirmed,
  HandoverRequested,
  MessageReceived,
  TargetEffect,
  TargetEvent,
  TargetLimits,
} from "./types.ts";

/** Name under which the backoffs of the back end are recorded. */
const BACK_END = "back_end";

interface QueuedRequest {
  readonly owner: RunOwner;
  readonly request: SubmitMessage;
  readonly fingerprint?: string;
  readonly organisation: string;
  readonly weight: number;
  readonly priority: SubmitMessage["priority"];
  /** Latest time at which it can start and usually end before its deadline. */
  readonly startBy: number;
  readonly deadlineAt: number;
}

/** Options of a {@link TargetReducer}. */
export interface TargetReducerOptions {
  readonly limits: TargetLimits;
  /** Milliseconds of the monotonic clock of all events. */
  readonly now: number;
}

/** Reducer over all events of a target. */
export class TargetReducer {
  readonly #limits: TargetLimits;
  readonly #gate: KeyGate;
  readonly #queue: FairQueue<QueuedRequest>;
  readonly #runTimes = new AnswerTimes();
  readonly #runs = new Map<number, Run>();
  readonly #reporter = new LoadReporter();
  readonly #openLinks = new Set<number>();
  #nextRunId = 1;
  /** Whether the process is shutting down, which cannot be undone. */
  #isDraining = false;
  /** Whether the list of VMs or the settings mark the target as leaving. */
  #isMarkedLeaving = false;
  #hasReportedDrained = false;
  readonly #replies = new TargetReplies();
  readonly #backoffs = new TargetBackoffs();

  /** Creates a reducer without requests or key slots. */
  constructor(options: TargetReducerOptions) {
    this.#limits = options.limits;
    this.#gate = new KeyGate(options.limits, options.now);
    this.#queue = new FairQueue(options.limits.queueLength);
  }

  /** Number of queued requests. */
  get queued(): number {
    return this.#queue.length;
  }

  /** Number of requests that were sent to the back end and have not ended. */
  get running(): number {
    return this.#runs.size;
  }

  /** Whether new requests are refused. */
  get isLeaving(): boolean {
    return this.#isDraining || this.#isMarkedLeaving;
  }

  /** Ledger of the recorded keys. */
  get ledger(): KeyLedger {
    return this.#gate.ledger;
  }

  /**
   * Processes one event and returns the effects to perform, in order.
   *
   * @example
   * ```ts
   * for (const effect of reducer.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: TargetEvent): readonly TargetEffect[] {
    if (this.#gate.detectStall(event.now)) {
      this.#replies.push({ kind: "confirm_claims" });
    }
    const wasLeaving = this.isLeaving;
    this.#reduce(event);
    if (this.isLeaving !== wasLeaving) this.#broadcastLeaving();
    this.#refuseInBackoff(event.now);
    this.#startQueued(event.now);
    this.#checkDrained();
    return this.#replies.takeEffects();
  }

  #reduce(event: TargetEvent): void {
    switch (event.kind) {
      case "link_opened":
        return this.#onLinkOpened(event.linkId, event.now);
      case "link_closed":
        return this.#onLinkClosed(event.linkId);
      case "message_received":
        return this.#onMessage(event);
      case "back_end_head":
        return this.#onBackEndHead(event);
      case "back_end_data":
        return this.#onBackEndData(event);
      case "back_end_end":
        return this.#onBackEndEnd(event);
      case "back_end_failed":
        return this.#onBackEndFailed(event);
      case "claims_confirmed":
        return this.#onClaimsConfirmed(event);
      case "hand_over_asked":
        return this.#onHandoverRequested(event);
      case "history_received":
        return this.#gate.addHistory(event.history, event.now);
      case "tick":
        return this.#onTick(event.now);
      case "drain_requested":
        this.#isDraining = true;
        return;
      case "leaving_set":
        this.#isMarkedLeaving = event.isLeaving;
        return;
      default:
        assertNever(event);
    }
  }

  #onLinkOpened(linkId: number, now: number): void {
    this.#openLinks.add(linkId);
    this.#reporter.recordSentLoad(linkId, { load: this.#getLoad(), now });
    this.#replies.reply(linkId, this.#createClaims());
    this.#replies.reply(linkId, this.#reporter.createReport(this.#getLoad()));
    if (this.isLeaving) this.#replies.reply(linkId, { kind: "leaving" });
  }

  /**
   * Drops the queued requests of the entry and cancels its running requests without a
   * key, since the entry no longer expects their answers. Keyed requests continue to run,
   * so that a retry gets the answer.
   */
  #onLinkClosed(linkId: number): void {
    this.#openLinks.delete(linkId);
    this.#reporter.removeLink(linkId);
    const dropped = this.#queue.removeWhere((item) =>
      item.owner.linkId === linkId
    );
    for (const item of dropped) this.#discardKey(item.fingerprint);
    for (const run of this.#runs.values()) {
      if (run.owner.linkId === linkId) this.#abandon(run);
    }
  }

  #onMessage(event: MessageReceived): void {
    if (!this.#openLinks.has(event.linkId)) return;
    const { message, linkId } = event;
    switch (message.kind) {
      case "submit":
        return this.#onSubmit(event, message);
      case "cancel":
        return this.#onCancel(linkId, message);
      default:
        return;
    }
  }

  #onSubmit(event: MessageReceived, request: SubmitMessage): void {
    const owner: RunOwner = {
      linkId: event.linkId,
      requestId: request.requestId,
      attempt: request.attempt,
    };
    const isKeyed = request.idempotencyKey !== undefined;
    if (this.isLeaving) {
      return this.#replies.refuse(owner, {
        reason: "TARGET_LEAVING",
        isKeyed,
        submission: "not-run",
      });
    }
    if (!isKeyed) return this.#enqueue(owner, request, { now: event.now });
    this.#onKeyedSubmit(owner, request, event);
  }

  #onKeyedSubmit(
    owner: RunOwner,
    request: SubmitMessage,
    event: MessageReceived,
  ): void {
    const idempotencyKey = request.idempotencyKey as string;
    const decision = this.#gate.decide({ ...request, idempotencyKey }, event);
    switch (decision.kind) {
      case "may_run":
        return this.#enqueue(owner, request, {
          now: event.now,
          fingerprint: decision.fingerprint,
        });
      case "replay":
        return this.#replies.replay(owner, decision.answer, this.#getLoad());
      case "refused":
        return this.#replies.refuse(owner, {
          reason: decision.reason,
          isKeyed: true,
          submission: "not-run",
        });
      default:
        assertNever(decision);
    }
  }

  #enqueue(
    owner: RunOwner,
    request: SubmitMessage,
    details: { readonly now: number; readonly fingerprint?: string },
  ): void {
    const deadlineAt = details.now + request.remainingMs;
    const { upperWholeMs } = this.#runTimes.get(request.service);
    const dropped = this.#queue.add({
      owner,
      request,
      organisation: request.organisation,
      weight: request.weight,
      priority: request.priority,
      // A run that can start now may end sooner than usual.
      startBy: Math.max(details.now, deadlineAt - upperWholeMs),
      deadlineAt,
      fingerprint: details.fingerprint,
    });
    if (dropped !== undefined) this.#refuseQueued(dropped, "QUEUE_FULL");
  }

  #onCancel(linkId: number, message: CancelMessage): void {
    const isSameAttempt = (owner: RunOwner) =>
      owner.linkId === linkId && owner.requestId === message.requestId &&
      owner.attempt === message.attempt;
    const queued = this.#queue.removeWhere((item) => isSameAttempt(item.owner));
    for (const item of queued) this.#refuseQueued(item, "CANCELLED");
    for (const run of this.#runs.values()) {
      if (isSameAttempt(run.owner)) this.#abandon(run);
    }
  }

  /** Abandons a run for which no entry waits, and cancels it unless it has a key. */
  #abandon(run: Run): void {
    run.abandon();
    if (run.fingerprint !== undefined) return;
    this.#replies.push({ kind: "cancel_back_end", runId: run.id });
  }

  #startQueued(now: number): void {
    while (this.#runs.size < this.#limits.concurrency) {
      const item = this.#queue.tryTake();
      if (item === undefined) return;
      if (item.startBy >= now) this.#start(item, now);
      else this.#refuseQueued(item, "DEADLINE_BEFORE_START");
    }
  }

  #refuseLate(now: number): void {
    const late = this.#queue.removeWhere((item) => item.startBy <= now);
    for (const item of late) this.#refuseQueued(item, "DEADLINE_BEFORE_START");
  }

  #start(item: QueuedRequest, now: number): void {
    const { fingerprint } = item;
    if (fingerprint !== undefined && !this.#gate.mayStart(fingerprint)) {
      this.#discardKey(fingerprint);
      return this.#replies.refuse(item.owner, {
        reason: "OWNER_UNCERTAIN",
        isKeyed: true,
        submission: "not-run",
      });
    }
    const run = new Run({
      id: this.#nextRunId++,
      owner: item.owner,
      fingerprint,
      service: item.request.service,
      startedAt: now,
      keptAnswerBytes: this.#limits.keptAnswerBytes,
      gatherMs: this.#limits.gatherMs,
    });
    this.#runs.set(run.id, run);
    this.#replies.push({
      kind: "start_back_end",
      runId: run.id,
      request: { ...item.request, remainingMs: item.deadlineAt - now },
    });
  }

  #onBackEndHead(event: BackEndHead): void {
    const run = this.#runs.get(event.runId);
    if (run === undefined) return;
    const backoff = parseBackoff(event.status, event.headers);
    if (backoff.kind === "backoff") {
      const askedMs = backoff.milliseconds;
      this.#backoffs.record({ target: BACK_END, askedMs, now: event.now });
    }
    const notice = backoff.kind === "none"
      ? undefined
      : createBackoffNotice(backoff);
    this.#replies.replyToRun(run, { ...run.createHead(event), notice });
  }

  #onBackEndData(event: BackEndData): void {
    const run = this.#runs.get(event.runId);
    if (run === undefined) return;
    this.#replies.replyToRun(run, run.addData(event.bytes, event.now));
  }

  #onBackEndEnd(event: BackEndEnd): void {
    const run = this.#runs.get(event.runId);
    if (run === undefined) return;
    this.#runs.delete(run.id);
    this.#reporter.recordRun(event.now - run.startedAt);
    this.#runTimes.recordWhole(run.service, event.now - run.startedAt);
    this.#replies.replyToRun(run, run.tryFlush(event.now));
    this.#replies.replyToRun(run, run.createEnd(this.#getLoad()));
    if (this.#openLinks.has(run.owner.linkId)) {
      this.#reporter.recordSentLoad(run.owner.linkId, {
        load: this.#getLoad(),
        now: event.now,
      });
    }
    if (run.fingerprint === undefined) return;
    this.#gate.ledger.setAnswered(run.fingerprint, run.tryGetKeptAnswer());
  }

  #onBackEndFailed(event: BackEndFailed): void {
    const run = this.#runs.get(event.runId);
    if (run === undefined) return;
    this.#runs.delete(run.id);
    const hasStarted = !isNotRun(event.failure);
    if (run.fingerprint !== undefined) {
      if (hasStarted) this.#gate.ledger.setUnsettled(run.fingerprint);
      else this.#discardKey(run.fingerprint);
    }
    if (run.isAbandoned) return;
    this.#replies.refuse(run.owner, {
      reason: getRefusalReason(event.failure),
      isKeyed: run.fingerprint !== undefined,
      submission: hasStarted ? "unknown" : "not-run",
    });
  }

  #onClaimsConfirmed(event: ClaimsConfirmed): void {
    const before = JSON.stringify(this.#createClaims());
    if (!this.#gate.confirm(event.claims, event.requestedAt)) return;
    const claims = this.#createClaims();
    if (JSON.stringify(claims) === before) return;
    this.#replies.push({ kind: "broadcast", message: claims });
  }

  /**
   * Hands over the keys of a slot once the target has drained, since the record of its
   * keys is complete only when no further request can run.
   */
  #onHandoverRequested(event: HandoverRequested): void {
    if (!this.#hasReportedDrained) return;
    this.#replies.reply(
      event.linkId,
      this.#gate.createHandover(event.slot, event.now),
    );
  }

  #onTick(now: number): void {
    this.#refuseLate(now);
    for (const run of this.#runs.values()) {
      this.#replies.replyToRun(run, run.tryFlushDue(now));
    }
    const load = this.#getLoad();
    for (const linkId of this.#reporter.getDueLinks(load, now)) {
      this.#replies.reply(linkId, this.#reporter.createReport(load));
      this.#reporter.recordSentLoad(linkId, { load, now });
    }
  }

  #broadcastLeaving(): void {
    const kind = this.isLeaving ? "leaving" : "serving";
    this.#replies.push({ kind: "broadcast", message: { kind } });
  }

  #checkDrained(): void {
    if (!this.#isDraining || this.#hasReportedDrained) return;
    if (this.#runs.size > 0 || this.#queue.length > 0) return;
    this.#hasReportedDrained = true;
    this.#replies.push({ kind: "drained" });
  }

  /** Refuses a queued request, which is never sent to the back end. */
  #refuseQueued(
    item: QueuedRequest,
    reason: RefusalName,
    notice?: BackEndNotice,
  ): void {
    this.#discardKey(item.fingerprint);
    this.#replies.refuse(item.owner, {
      reason,
      isKeyed: item.fingerprint !== undefined,
      submission: "not-run",
      notice,
    });
  }

  /**
   * Refuses all queued requests during a backoff of the back end, so that other targets
   * can serve them. The refusals contain the remaining time of the backoff.
   */
  #refuseInBackoff(now: number): void {
    const milliseconds = this.#backoffs.getRemainingMs(BACK_END, now);
    if (milliseconds === 0) return;
    const notice = createBackoffNotice({ kind: "backoff", milliseconds });
    const queued = this.#queue.removeWhere(() => true);
    for (const item of queued) {
      this.#refuseQueued(item, "TARGET_WITHHELD", notice);
    }
  }

  #discardKey(fingerprint: string | undefined): void {
    if (fingerprint !== undefined) this.#gate.ledger.discard(fingerprint);
  }

  #createClaims(): Extract<Message, { kind: "claims" }> {
    return {
      kind: "claims",
      version: this.#gate.version,
      slotCount: SLOT_COUNT,
      slots: this.#gate.slots,
    };
  }

  #getLoad(): { readonly queued: number; readonly running: number } {
    return { queued: this.#queue.length, running: this.#runs.size };
  }
}

/** Creates the notice that forwards a backoff of the back end to entries. */
function createBackoffNotice(backoff: BackoffNotice): BackEndNotice {
  const none = { kind: "none" } as const;
  return { rateLimit: none, backoff, leaving: none };
}
