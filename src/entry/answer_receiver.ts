/**
 * Handles the messages that targets send about attempts, and relays answers to callers.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type {
  AnswerEndMessage,
  AttemptMessage,
  RefusedMessage,
} from "../messages/types.ts";
import { relayChunk, relayHead } from "./answer_relay.ts";
import type { AnswerTimes } from "../policy/answer_times.ts";
import type { CrashWatch } from "./crash_watch.ts";
import {
  createUnknownFailure,
  MIN_SERVER_ERROR_STATUS,
  SERVER_ERROR_FAILURE,
} from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { NoticeWatch } from "./notice_watch.ts";
import type { RequestDispatcher } from "./request_dispatcher.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import type { TargetEventContext, TargetUpdater } from "./target_updater.ts";
import type { TargetRecord } from "./target_record.ts";
import type { EntryEffect } from "./types.ts";

/** Options of an {@link AnswerReceiver}. */
export interface AnswerReceiverOptions {
  readonly dispatcher: RequestDispatcher;
  readonly notices: NoticeWatch;
  readonly targetUpdates: TargetUpdater;
  readonly crashes: CrashWatch;
  readonly retries: RetryPolicy;
  /** Learns how long answers take. */
  readonly answerTimes: AnswerTimes;
  /** Receives the effects, in order. */
  readonly effects: Pick<EntryEffect[], "push">;
}

/** Handles the messages that targets send about attempts. */
export class AnswerReceiver {
  readonly #options: AnswerReceiverOptions;

  /** Creates a receiver that has no state of its own. */
  constructor(options: AnswerReceiverOptions) {
    this.#options = options;
  }

  /** Handles a message from a target about an attempt; only the current one counts. */
  receive(
    message: AttemptMessage,
    target: TargetRecord,
    now: number,
  ): void {
    const inFlight = this.#dispatcher.tryGet(message.requestId);
    const isCurrent = inFlight !== undefined &&
      message.attempt === inFlight.attempt &&
      target.name === inFlight.targetName;
    if (!isCurrent) {
      this.#options.effects.push({ kind: "count_stale_message" });
      return;
    }
    const context = { inFlight, target, now };
    this.#options.effects.push(
      ...this.#options.notices.recordNotices(message, context),
    );
    if (message.kind === "refused") {
      const sentAt = inFlight.attemptStartedAt;
      return this.#onAttemptRefused(inFlight, message, { target, sentAt, now });
    }
    if (inFlight.receive(message).kind === "broken") {
      return this.#onAnswerBroken(inFlight, target, now);
    }
    switch (message.kind) {
      case "answer_head":
        target.recordFirstByte(message.requestId, now);
        this.#options.retries.recordArrived(inFlight, now);
        this.#options.effects.push(
          ...this.#options.targetUpdates.recordReached(target),
        );
        this.#options.effects.push(...relayHead(inFlight));
        return;
      case "answer_data":
        return this.#continueAnswer(inFlight, message.bytes, { target, now });
      case "answer_end":
        return this.#finishAnswer(inFlight, message, { target, now });
      default:
        assertNever(message);
    }
  }

  #continueAnswer(
    inFlight: InFlightRequest,
    bytes: Uint8Array,
    context: TargetEventContext,
  ): void {
    this.#recordChunk(inFlight, context.now);
    const { effects, isBroken } = relayChunk(inFlight, bytes);
    this.#options.effects.push(...effects);
    if (isBroken) this.#onAnswerBroken(inFlight, context.target, context.now);
  }

  #recordChunk(inFlight: InFlightRequest, now: number): void {
    const { servicePath } = inFlight.route;
    if (!inFlight.hasReceivedChunk) {
      const sinceSentMs = now - inFlight.attemptStartedAt;
      this.#options.answerTimes.recordFirstChunk(servicePath, sinceSentMs);
    }
    inFlight.recordChunk(now);
  }

  #finishAnswer(
    inFlight: InFlightRequest,
    message: AnswerEndMessage,
    context: TargetEventContext,
  ): void {
    const status = inFlight.head?.status ?? 0;
    const isServerError = status >= MIN_SERVER_ERROR_STATUS;
    const isBackingOff = this.#options.notices.backoffs.getRemainingMs(
      context.target.name,
      context.now,
    ) > 0;
    // A backoff already states how long the target is to receive no requests.
    if (!isServerError || !isBackingOff) {
      context.target.recordAttempt(isServerError, context.now);
    }
    context.target.recordConnection(message.keptMs, context.now);
    context.target.setReportedLoad(
      message.queued + message.running,
      context.now,
    );
    if (isServerError) inFlight.keepFallbackAnswer();
    if (
      isServerError &&
      this.#dispatcher.tryRetry(inFlight, SERVER_ERROR_FAILURE, context.now)
    ) return;
    this.#options.effects.push(
      ...this.#options.crashes.recordServed(inFlight, context.now),
    );
    this.#options.answerTimes.recordWhole(
      inFlight.route.servicePath,
      context.now - inFlight.attemptStartedAt,
    );
    this.#dispatcher.finish(inFlight, context.now);
  }

  #onAttemptRefused(
    inFlight: InFlightRequest,
    message: RefusedMessage,
    context: TargetEventContext,
  ): void {
    this.#options.effects.push(
      ...this.#options.targetUpdates.recordRefused(message, context),
    );
    this.#dispatcher.onAttemptFailed(inFlight, message, context.now);
  }

  #onAnswerBroken(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    target.recordAttempt(true, now);
    this.#dispatcher.cancel(inFlight);
    this.#dispatcher.onAttemptFailed(
      inFlight,
      createUnknownFailure("ANSWER_BROKEN"),
      now,
    );
  }

  get #dispatcher(): RequestDispatcher {
    return this.#options.dispatcher;
  }
}
