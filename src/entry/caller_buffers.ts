/**
 * Follows what the process holds for each caller, and carries out what {@link HeldBytes}
 * decides on it.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { turnEventLoop } from "../core/event_loop.ts";
import type { EventLog } from "../events/event_log.ts";
import type { AnswerDataMessage } from "../messages/types.ts";
import type { Metrics } from "../process/metrics.ts";
import type { BodyMeter, CallerConnection } from "./caller_connection.ts";
import {
  type CutCaller,
  HeldBytes,
  type HeldBytesOrder,
  type PauseAnswer,
  type ResumeAnswer,
} from "./held_bytes.ts";
import type { AttemptName, PausableAnswers } from "./target_links.ts";
import type { EntryEvent } from "./types.ts";

/** What {@link CallerBuffers} work with. */
export interface CallerBuffersOptions {
  /** Bytes that may be held for all callers together. */
  readonly limitBytes: number;
  readonly metrics: Metrics;
  readonly log: EventLog;
  /** Cuts a caller; called outside of the reducer's effects. */
  readonly onCut: (caller: number, connection: CallerConnection) => void;
}

/** Where a caller's answer comes from. */
interface AnswerSource {
  readonly attempt: AttemptName;
  readonly answers: PausableAnswers;
}

interface OpenCaller {
  readonly connection: CallerConnection;
  source: AnswerSource | undefined;
  /** Whether a pause of its back end was logged. */
  isPauseLogged: boolean;
}

/** What the process holds for its callers. */
export class CallerBuffers {
  readonly #options: CallerBuffersOptions;
  readonly #held: HeldBytes;
  readonly #callers = new Map<number, OpenCaller>();
  /** Callers whose answers are paused until events are delivered again. */
  readonly #heldBack = new Set<number>();

  /** Begins without callers. */
  constructor(options: CallerBuffersOptions) {
    this.#options = options;
    this.#held = new HeldBytes(options.limitBytes);
    options.metrics.watchHeldBytes(this.#held);
  }

  /** Follows a caller until its answer is sent or its connection closed. */
  open(caller: number, connection: CallerConnection): void {
    this.#callers.set(caller, {
      connection,
      source: undefined,
      isPauseLogged: false,
    });
    connection.onBufferChange(() => this.#note(caller), () => {
      this.#callers.delete(caller);
      this.#held.forget(caller);
    });
  }

  /** Counts the caller's request body while it is read. */
  createMeter(caller: number): BodyMeter {
    return {
      mayRead: (declaredBytes) => {
        const mayRead = this.#held.mayReadBody(declaredBytes);
        if (!mayRead) this.#logRefusedBody(caller, declaredBytes);
        return mayRead;
      },
      take: (bytes) => {
        const { isAllowed, orders } = this.#held
          .noteBody(caller, bytes, performance.now());
        this.#perform(orders);
        if (!isAllowed) this.#logRefusedBody(caller, undefined);
        return isAllowed;
      },
    };
  }

  /** An attempt of the caller's request was sent; it is paused if the caller is behind. */
  setSource(
    attempt: AttemptName,
    answers: PausableAnswers | undefined,
  ): void {
    const open = this.#callers.get(attempt.requestId);
    if (open === undefined) return;
    open.source = answers && { attempt, answers };
    if (this.#held.isPaused(attempt.requestId)) answers?.pause(attempt);
  }

  /**
   * An event waits until the event loop has turned. Answers that arrive meanwhile are
   * not written, and so not counted: in one turn 2 MiB of each may arrive.
   */
  noteHeldBack(event: EntryEvent): void {
    const isAnswer = event.kind === "message_received" &&
      event.message.kind === "answer_data";
    if (!isAnswer) return;
    const { requestId } = event.message as AnswerDataMessage;
    const source = this.#callers.get(requestId)?.source;
    if (source === undefined || this.#heldBack.has(requestId)) return;
    if (this.#heldBack.size === 0) void this.#resumeAfterTurn();
    this.#heldBack.add(requestId);
    source.answers.pause(source.attempt);
  }

  async #resumeAfterTurn(): Promise<void> {
    await turnEventLoop();
    const callers = [...this.#heldBack];
    this.#heldBack.clear();
    for (const caller of callers) {
      const source = this.#callers.get(caller)?.source;
      const isBehind = this.#held.isPaused(caller);
      if (!isBehind) source?.answers.resume(source.attempt);
    }
  }

  /** The request is over; what is unsent of its answer still counts. */
  finish(caller: number): void {
    this.#held.forgetBody(caller);
    const open = this.#callers.get(caller);
    if (open !== undefined) open.source = undefined;
  }

  /** Looks at what callers have taken meanwhile. */
  refresh(): void {
    for (const caller of this.#held.slowCallers()) this.#note(caller);
  }

  #note(caller: number): void {
    const open = this.#callers.get(caller);
    if (open === undefined) return;
    const { source, connection } = open;
    const answer = {
      unsentBytes: connection.unsentBytes,
      receivedBytes: source?.answers.getUnreadBytes(source.attempt) ?? 0,
    };
    this.#perform(this.#held.noteAnswer(caller, answer, performance.now()));
  }

  #perform(orders: readonly HeldBytesOrder[]): void {
    for (const order of orders) {
      switch (order.kind) {
        case "pause":
          this.#pause(order);
          break;
        case "resume":
          this.#resume(order);
          break;
        case "cut":
          this.#cut(order);
          break;
      }
    }
  }

  #pause({ caller, unreadBytes }: PauseAnswer): void {
    const open = this.#callers.get(caller);
    if (open?.source === undefined) return;
    open.source.answers.pause(open.source.attempt);
    this.#options.metrics.countPausedAnswer();
    if (open.isPauseLogged) return;
    open.isPauseLogged = true;
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
