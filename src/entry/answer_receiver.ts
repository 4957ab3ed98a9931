/**
 * Takes in what targets say of attempts, and gives callers what of it is theirs.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type {
  AnswerEndMessage,
  AttemptMessage,
  RefusedMessage,
} from "../messages/types.ts";
import { relayHead, relayPiece } from "./answer_relay.ts";
import type { CrashWatch } from "./crash_watch.ts";
import {
  createUnknown,
  SERVER_ERROR,
  SERVER_ERROR_STATUS,
} from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { NoticeWatch } from "./notice_watch.ts";
import type { RequestDispatcher } from "./request_dispatcher.ts";
import type { TargetMoment, TargetNews } from "./target_news.ts";
import type { TargetRecord } from "./target_record.ts";
import type { EntryEffect } from "./types.ts";

/** What an {@link AnswerReceiver} works with. */
export interface AnswerReceiverOptions {
  readonly dispatcher: RequestDispatcher;
  readonly notices: NoticeWatch;
  readonly news: TargetNews;
  readonly crashes: CrashWatch;
  /** Takes what is to be done, in order. */
  readonly effects: Pick<EntryEffect[], "push">;
}

/** Takes in what targets say of attempts. */
export class AnswerReceiver {
  readonly #options: AnswerReceiverOptions;

  /** Passes on whatever it is given. */
  constructor(options: AnswerReceiverOptions) {
    this.#options = options;
  }

  /** A target said something of an attempt. */
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
    const place = { inFlight, target, now };
    this.#options.effects.push(
      ...this.#options.notices.noteAnswer(message, place),
    );
    if (message.kind === "refused") {
      const sentAt = inFlight.attemptStartedAt;
      return this.#attemptRefused(inFlight, message, { target, sentAt, now });
    }
    if (inFlight.progress(message).kind === "broken") {
      return this.#attemptBroken(inFlight, target, now);
    }
    switch (message.kind) {
      case "answer_head":
        target.countFirstByte(message.requestId, now);
        this.#options.effects.push(...this.#options.news.noteReached(target));
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
    at: TargetMoment,
  ): void {
    inFlight.notePiece(at.now);
    const { effects, hasGap } = relayPiece(inFlight, bytes);
    this.#options.effects.push(...effects);
    if (hasGap) this.#attemptBroken(inFlight, at.target, at.now);
  }

  #finishAnswer(
    inFlight: InFlightRequest,
    message: AnswerEndMessage,
    at: TargetMoment,
  ): void {
    const status = inFlight.head?.status ?? 0;
    const isServerError = status >= SERVER_ERROR_STATUS;
    const isBackingOff =
      this.#options.notices.backoffs.getRemainingMs(at.target.name, at.now) > 0;
    // The backoff itself says for how long the target gets nothing.
    if (!isServerError || !isBackingOff) {
      at.target.countAttempt(isServerError, at.now);
    }
    at.target.noteConnection(message.keptMs, at.now);
    at.target.setReportedLoad(message.queued + message.running, at.now);
    if (isServerError) inFlight.spareAnswer();
    if (
      isServerError && this.#dispatcher.tryAgain(inFlight, SERVER_ERROR, at.now)
    ) return;
    this.#options.effects.push(
      ...this.#options.crashes.noteServed(inFlight, at.now),
    );
    this.#dispatcher.finish(inFlight, at.now);
  }

  #attemptRefused(
    inFlight: InFlightRequest,
    message: RefusedMessage,
    at: TargetMoment,
  ): void {
    this.#options.effects.push(...this.#options.news.noteRefused(message, at));
    this.#dispatcher.attemptFailed(inFlight, message, at.now);
  }

  #attemptBroken(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    target.countAttempt(true, now);
    this.#dispatcher.cancel(inFlight);
    this.#dispatcher.attemptFailed(
      inFlight,
      createUnknown("ANSWER_BROKEN"),
      now,
    );
  }

  get #dispatcher(): RequestDispatcher {
    return this.#options.dispatcher;
  }
}
