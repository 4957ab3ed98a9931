/**
 * Tracks the bytes that the process holds for each caller, and executes the actions that
 * {@link HeldBytes} chooses.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { waitForPendingReads } from "../core/event_loop.ts";
import type { EventLog } from "../events/event_log.ts";
import type { AnswerDataMessage } from "../messages/types.ts";
import type { Metrics } from "../process/metrics.ts";
import type { BodyMeter, CallerConnection } from "./caller_connection.ts";
import {
  type CutCaller,
  HeldBytes,
  type HeldBytesAction,
  type PauseAnswer,
  type ResumeAnswer,
} from "./held_bytes.ts";
import type { AttemptId, PausableAnswers } from "./target_links.ts";
import type { EntryEvent } from "./types.ts";

/**
 * Bytes of a head that are not counted. Many requests with usual heads may wait while
 * bodies fill their part of the limit.
 */
const FREE_HEAD_BYTES = 8192;

/** Options of {@link CallerBuffers}. */
export interface CallerBuffersOptions {
  /** Maximum bytes to hold for all callers together. */
  readonly limitBytes: number;
  readonly metrics: Metrics;
  readonly log: EventLog;
  /** Cuts off a caller; not called while the reducer's effects are performed. */
  readonly onCut: (caller: number, connection: CallerConnection) => void;
}

/** The attempt that produces a caller's answer, and the call that can be paused. */
interface AnswerSource {
  readonly attempt: AttemptId;
  readonly answers: PausableAnswers;
}

interface OpenCaller {
  readonly connection: CallerConnection;
  source: AnswerSource | undefined;
  /** Whether a pause was logged; only the first pause of each caller is. */
  isPauseLogged: boolean;
}

/** The bytes that the process holds for its callers. */
export class CallerBuffers {
  readonly #options: CallerBuffersOptions;
  readonly #held: HeldBytes;
  readonly #callers = new Map<number, OpenCaller>();
  /** Callers whose answers are paused for one turn of the event loop. */
  readonly #pausedForTurn = new Set<number>();

  /** Creates buffers without callers. */
  constructor(options: CallerBuffersOptions) {
    this.#options = options;
    this.#held = new HeldBytes(options.limitBytes);
    options.metrics.addHeldBytesGauges(this.#held);
  }

  /** Tracks a caller until its answer is sent or its connection is closed. */
  open(caller: number, connection: CallerConnection): void {
    this.#callers.set(caller, {
      connection,
      source: undefined,
      isPauseLogged: false,
    });
    connection.onBufferChange(() => this.#update(caller), () => {
      this.#callers.delete(caller);
      this.#held.release(caller);
    });
  }

  /**
   * Creates a meter that counts the caller's request while it is read; `headBytes` are
   * those that its head occupies.
   */
  createMeter(caller: number, headBytes: number): BodyMeter {
    const countedHeadBytes = Math.max(0, headBytes - FREE_HEAD_BYTES);
    let heldBytes = 0;
    return {
      mayRead: (declaredBytes) => {
        const bytes = declaredBytes + countedHeadBytes;
        const { isAllowed, actions } = this.#held
          .makeRoomForBody(caller, bytes, performance.now());
        this.#execute(actions);
        if (!isAllowed) this.#logRefusedBody(caller, declaredBytes);
        else if (countedHeadBytes > 0) {
          this.#addBodyBytes(caller, countedHeadBytes);
        }
        return isAllowed;
      },
      tryHold: (bytes, receivedBytes) => {
        this.#held
          .recordBodyProgress(caller, receivedBytes, performance.now());
        if (bytes === heldBytes) return true;
        const isAllowed = this.#addBodyBytes(caller, bytes - heldBytes);
        heldBytes = bytes;
        if (!isAllowed) this.#logRefusedBody(caller, undefined);
        return isAllowed;
      },
    };
  }

  /** Keeps a request that was read completely from being given up. */
  completeBody(caller: number): void {
    this.#held.completeBody(caller);
  }

  #addBodyBytes(caller: number, bytes: number): boolean {
    const { isAllowed, actions } = this.#held
      .addBodyBytes(caller, bytes, performance.now());
    this.#execute(actions);
    return isAllowed;
  }

  /** Sets the attempt that produces the answer; pauses it if the caller is paused. */
  setSource(
    attempt: AttemptId,
    answers: PausableAnswers | undefined,
  ): void {
    const openCaller = this.#callers.get(attempt.requestId);
    if (openCaller === undefined) return;
    openCaller.source = answers && { attempt, answers };
    if (this.#held.isPaused(attempt.requestId)) answers?.pause(attempt);
  }

  /**
   * Pauses the back end of an answer whose event is deferred by one turn of the event
   * loop. Deferred data is not written and therefore not counted, and up to 2 MiB of each
   * answer can arrive in one turn.
   */
  onEventDeferred(event: EntryEvent): void {
    const isAnswer = event.kind === "message_received" &&
      event.message.kind === "answer_data";
    if (!isAnswer) return;
    const { requestId } = event.message as AnswerDataMessage;
    const source = this.#callers.get(requestId)?.source;
    if (source === undefined || this.#pausedForTurn.has(requestId)) return;
    if (this.#pausedForTurn.size === 0) void this.#resumeAfterTurn();
    this.#pausedForTurn.add(requestId);
    source.answers.pause(source.attempt);
  }

  async #resumeAfterTurn(): Promise<void> {
    await waitForPendingReads();
    const callers = [...this.#pausedForTurn];
    this.#pausedForTurn.clear();
    for (const caller of callers) {
      const source = this.#callers.get(caller)?.source;
      const isPaused = this.#held.isPaused(caller);
      if (!isPaused) source?.answers.resume(source.attempt);
    }
  }

  /** Releases the body of a request that has ended; its unsent answer still counts. */
  finish(caller: number): void {
    this.#held.releaseBody(caller);
    const openCaller = this.#callers.get(caller);
    if (openCaller !== undefined) openCaller.source = undefined;
  }

  /** Updates the held bytes of callers that have unsent bytes. */
  refresh(): void {
    for (const caller of this.#held.getSlowCallers()) this.#update(caller);
  }

  #update(caller: number): void {
    const openCaller = this.#callers.get(caller);
    if (openCaller === undefined) return;
    const { source, connection } = openCaller;
    const answer = {
      unsentBytes: connection.unsentBytes,
      receivedBytes: source?.answers.getUnreadBytes(source.attempt) ?? 0,
    };
    this.#execute(this.#held.updateAnswer(caller, answer, performance.now()));
  }

  #execute(actions: readonly HeldBytesAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "pause":
          this.#pause(action);
          break;
        case "resume":
          this.#resume(action);
          break;
        case "cut":
          this.#cut(action);
          break;
        case "refuse_body":
          this.#logRefusedBody(action.caller, undefined);
          this.#callers.get(action.caller)?.connection
            .stopReading("BODIES_FILL_MEMORY");
          break;
      }
    }
  }

  #pause({ caller, unreadBytes }: PauseAnswer): void {
    const openCaller = this.#callers.get(caller);
    if (openCaller?.source === undefined) return;
    openCaller.source.answers.pause(openCaller.source.attempt);
    this.#options.metrics.countPausedAnswer();
    if (openCaller.isPauseLogged) return;
    openCaller.isPauseLogged = true;
    this.#write("ANSWER_PAUSED", { request: caller, unreadBytes });
  }

  #resume({ caller, pausedMs }: ResumeAnswer): void {
    const source = this.#callers.get(caller)?.source;
    if (source === undefined) return;
    source.answers.resume(source.attempt);
    this.#options.metrics.countAnswerPause(pausedMs);
  }

  #cut({ caller, unreadBytes, stalledMs, heldBytes }: CutCaller): void {
    this.#options.metrics.countSlowCallerCut();
    this.#write("SLOW_CALLER_CUT", {
      request: caller,
      unreadBytes,
      stalledMs,
      heldBeforeBytes: heldBytes,
    });
    const connection = this.#callers.get(caller)?.connection;
    if (connection === undefined) return;
    setImmediate(() => this.#options.onCut(caller, connection));
  }

  #logRefusedBody(caller: number, declaredBytes: number | undefined): void {
    this.#write("BODY_REFUSED", { request: caller, declaredBytes });
  }

  #write(
    name: "ANSWER_PAUSED" | "SLOW_CALLER_CUT" | "BODY_REFUSED",
    details: Readonly<Record<string, number | undefined>>,
  ): void {
    const { answerBytes, bodyBytes, limitBytes } = this.#held;
    this.#options.log.write(name, {
      ...details,
      answerBytes,
      bodyBytes,
      limitBytes,
    });
  }
}
