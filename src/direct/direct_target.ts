/**
 * A back end that an entry calls directly, without a target process in between. It
 * exchanges the same messages about attempts as a target process, so that the entry's
 * reducer handles both in the same way.
 *
 * @module
 */
import {
  type AnswerFraming,
  BackEnd,
  type BackEndCall,
  type BackEndFailure,
  type BackEndLoad,
  type BackEndRequest,
  isNotRun,
} from "../external/back_end.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type {
  AttemptId,
  PausableAnswers,
  TargetLink,
} from "../entry/target_links.ts";
import type {
  AttemptMessage,
  CancelMessage,
  Header,
  SubmitMessage,
} from "../messages/types.ts";
import { getRefusalReason } from "../external/back_end_failures.ts";
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";

/** Receives the messages about an attempt's progress and outcome. */
export type AttemptListener = (message: AttemptMessage) => void;

/** Options of a {@link DirectTarget}. */
export interface DirectTargetOptions {
  readonly log: EventLog;
  readonly instance: BackEndInstance;
  readonly backEnd: BackEnd;
  readonly onMessage: AttemptListener;
  /** Whether an attempt may still be sent. Checked before its first byte is sent. */
  readonly mayBegin: () => boolean;
}

/** A back end that is called without a target process. */
export class DirectTarget implements TargetLink {
  readonly #options: DirectTargetOptions;
  readonly #attempts = new Map<string, DirectAttempt>();
  readonly answers: PausableAnswers = {
    pause: (attempt) => this.#tryCall(attempt)?.pause(),
    resume: (attempt) => this.#tryCall(attempt)?.resume(),
    getUnreadBytes: (attempt) => this.#tryCall(attempt)?.unreadBytes ?? 0,
  };

  /** Makes no call yet. */
  constructor(options: DirectTargetOptions) {
    this.#options = options;
  }

  /** Number of attempts in flight. */
  get inFlight(): number {
    return this.#attempts.size;
  }

  send(message: SubmitMessage | CancelMessage): void {
    const key = getAttemptKey(message);
    if (message.kind === "cancel") {
      this.#attempts.get(key)?.cancel();
      this.#attempts.delete(key);
      return;
    }
    const { instance, backEnd, log, onMessage, mayBegin } = this.#options;
    const attempt = new DirectAttempt(message, {
      onMessage,
      onEnded: () => this.#attempts.delete(key),
    });
    this.#attempts.set(key, attempt);
    const hasStarted = tryHandle(
      log,
      `a request to ${instance.id}`,
      () => attempt.start(backEnd, { instance: instance.name, mayBegin }),
    );
    // Deferred, as an event must not be dispatched while effects are performed.
    if (!hasStarted) queueMicrotask(() => attempt.fail());
  }

  #tryCall(attempt: AttemptId): BackEndCall | undefined {
    return this.#attempts.get(getAttemptKey(attempt))?.call;
  }

  /** Closes the connections. Attempts in flight fail. */
  async close(): Promise<void> {
    await this.#options.backEnd.close();
  }
}

interface DirectAttemptOptions {
  readonly onMessage: AttemptListener;
  readonly onEnded: () => void;
}

class DirectAttempt {
  readonly #submit: SubmitMessage;
  readonly #options: DirectAttemptOptions;
  #call: BackEndCall | undefined;
  #sequence = 0;
  #byteCount = 0;
  #load: BackEndLoad = { running: 0, queued: 0 };
  /**
   * Milliseconds for which the connection can carry another call; 0 until the back end
   * reports it.
   */
  #keptMs = 0;
  #lostPeer: string | undefined;
  #notice: BackEndNotice | undefined;
  #isCancelled = false;
  #hasEnded = false;

  constructor(submit: SubmitMessage, options: DirectAttemptOptions) {
    this.#submit = submit;
    this.#options = options;
  }

  /** The call in progress; undefined before {@link start}. */
  get call(): BackEndCall | undefined {
    return this.#call;
  }

  start(
    backEnd: BackEnd,
    options: Pick<BackEndRequest, "instance" | "mayBegin">,
  ): void {
    const { method, path, headers, body, remainingMs, organisation, priority } =
      this.#submit;
    const request = {
      method,
      path,
      headers,
      body,
      limitMs: remainingMs,
      organisation,
      priority,
      ...options,
    };
    this.#call = backEnd.start(request, {
      onLoad: (load) => this.#load = load,
      onLostPeer: (id) => this.#lostPeer = id,
      onNotice: (notice) => this.#notice = notice,
      onConnectionReusable: (milliseconds) => this.#keptMs = milliseconds,
      onHead: (status, answerHeaders, framing) =>
        this.#onHead(status, answerHeaders, framing),
      onData: (bytes) => this.#onData(bytes),
      onEnd: () => this.#onEnd(),
      onFailed: (failure) => this.#onFailed(failure),
    });
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#call?.cancel();
  }

  /** Ends the attempt, of which some bytes may have been sent. */
  fail(): void {
    if (!this.#hasEnded) this.#onFailed("broken");
  }

  #onHead(
    status: number,
    headers: readonly Header[],
    framing: AnswerFraming | undefined,
  ): void {
    this.#emit({
      kind: "answer_head",
      ...this.#getAttemptName(),
      sequence: this.#sequence++,
      status,
      headers,
      endsWithConnection: framing?.endsWithConnection,
      notice: this.#notice,
    });
  }

  #onData(bytes: Uint8Array): void {
    this.#byteCount += bytes.length;
    this.#emit({
      kind: "answer_data",
      ...this.#getAttemptName(),
      sequence: this.#sequence++,
      bytes,
    });
  }

  #onEnd(): void {
    this.#hasEnded = true;
    this.#options.onEnded();
    this.#emit({
      kind: "answer_end",
      ...this.#getAttemptName(),
      sequence: this.#sequence++,
      byteCount: this.#byteCount,
      keptMs: this.#keptMs,
      ...this.#load,
    });
  }

  #onFailed(failure: BackEndFailure): void {
    this.#hasEnded = true;
    this.#options.onEnded();
    const submission = isNotRun(failure) ? "not-run" : "unknown";
    this.#emit({
      kind: "refused",
      ...this.#getAttemptName(),
      reason: getRefusalReason(failure),
      keptMs: isNotRun(failure) ? this.#keptMs : 0,
      outcome: submission,
      submission,
      lostPeer: this.#lostPeer,
      notice: this.#notice,
    });
  }

  #emit(message: AttemptMessage): void {
    if (!this.#isCancelled) this.#options.onMessage(message);
  }

  #getAttemptName() {
    const { requestId, attempt } = this.#submit;
    return { requestId, attempt };
  }
}

function getAttemptKey({ requestId, attempt }: AttemptId): string {
  return `${requestId}.${attempt}`;
}
