/**
 * State of one caller's request and of the answer that has arrived so far.
 *
 * @module
 */
import type {
  AnswerDataMessage,
  AnswerEndMessage,
  AnswerHeadMessage,
  Header,
} from "../messages/types.ts";
import type { Priority } from "../messages/priority.ts";
import { createPartId } from "../policy/poison_parts.ts";
import type { Outcome } from "../refusals/types.ts";
import { digestRequest } from "./request_digest.ts";
import type { Route } from "./routing_table.ts";
import { EVENT_STREAM_TYPE, EventStreamCursor } from "./event_stream_cursor.ts";
import type { CallerRequest } from "./types.ts";

/** Maximum length, in bytes, of answers that are held until they are complete. */
export const MAX_HELD_ANSWER_BYTES = 65_536;

/** Request header with the event after which a stream continues (WHATWG HTML). */
export const LAST_EVENT_ID_HEADER = "last-event-id";

/** The message continues the answer. */
export interface AnswerContinues {
  readonly kind: "continues";
}

/** The answer has a gap, or its length differs from the announced one. */
export interface AnswerIsBroken {
  readonly kind: "broken";
}

/** The message belongs to another attempt. */
export interface AnswerIsStale {
  readonly kind: "stale";
}

/** Effect of a message on the answer. */
export type AnswerProgress = AnswerContinues | AnswerIsBroken | AnswerIsStale;

/** A complete answer that is held for its caller. */
interface HeldAnswer {
  readonly head: AnswerHeadMessage;
  readonly chunks: readonly Uint8Array[];
}

type AnswerMessage = AnswerHeadMessage | AnswerDataMessage | AnswerEndMessage;

/** A pause between two chunks of an answer. */
export interface AnswerPause {
  readonly milliseconds: number;
  readonly endedAt: number;
}

/** Properties of a request that are fixed when it is admitted. */
export interface InFlightOptions {
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** The pool that serves the request. */
  readonly pool: string;
  /** Priorities of the pool's services, most urgent first, where they differ. */
  readonly poolPriorities?: readonly Priority[];
  /** Key of the request's digest. */
  readonly digestKey: string;
}

/** One caller's request, from admission to the end of its answer. */
export class InFlightRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** The pool that serves the request. */
  readonly pool: string;
  /** Priorities of the pool's services, most urgent first, where they differ. */
  readonly poolPriorities: readonly Priority[] | undefined;
  readonly #digestKey: string;
  #digest: string | undefined;
  #partIds: readonly string[] | undefined;
  #attempt = 0;
  #attemptStartedAt = 0;
  #targetName: string | undefined;
  #lastTargetName: string | undefined;
  #isStreaming = false;
  #expectedSequence = 0;
  #byteCount = 0;
  #head: AnswerHeadMessage | undefined;
  #heldChunks: Uint8Array[] = [];
  /** Complete error answer of an earlier attempt, used if no later attempt succeeds. */
  #fallbackAnswer: HeldAnswer | undefined;
  #mayHaveRun = false;
  #cursor: EventStreamCursor | undefined;
  #lastChunkAt: number | undefined;
  #longestPause: AnswerPause | undefined;
  readonly #triedTargets = new Set<string>();

  /** Creates a request before its first attempt. */
  constructor(
    request: CallerRequest,
    route: Route,
    options: InFlightOptions,
  ) {
    this.request = request;
    this.route = route;
    this.arrivedAt = options.arrivedAt;
    this.deadlineAt = options.deadlineAt;
    this.pool = options.pool;
    this.poolPriorities = options.poolPriorities;
    this.#digestKey = options.digestKey;
  }

  /** Digest by which repetitions of the request are recognised; computed on first use. */
  get digest(): string {
    const { organisation } = this.route;
    const scope = { key: this.#digestKey, organisation };
    return this.#digest ??= digestRequest(this.request, scope);
  }

  /** Identifiers, within the pool, of the parts of the prompt that others share. */
  get partIds(): readonly string[] {
    const { pool, request } = this;
    return this.#partIds ??= (request.promptParts ?? []).map((part) =>
      createPartId(pool, part)
    );
  }

  /** Number of the current attempt; the first is 1. */
  get attempt(): number {
    return this.#attempt;
  }

  /** When the last attempt was sent, in milliseconds. */
  get attemptStartedAt(): number {
    return this.#attemptStartedAt;
  }

  /** The target of the current attempt. */
  get targetName(): string | undefined {
    return this.#targetName;
  }

  /** Whether the caller has received a part of the answer. */
  get isStreaming(): boolean {
    return this.#isStreaming;
  }

  /** Longest pause between two chunks of the answer, if it has two. */
  get longestPause(): AnswerPause | undefined {
    return this.#longestPause;
  }

  /** Whether a chunk of the answer has arrived, in this attempt or an earlier one. */
  get hasReceivedChunk(): boolean {
    return this.#lastChunkAt !== undefined;
  }

  /** Records that a chunk of the answer arrived. */
  recordChunk(now: number): void {
    const milliseconds = now - (this.#lastChunkAt ?? now);
    const isFirst = this.#lastChunkAt === undefined;
    this.#lastChunkAt = now;
    const isLongest = milliseconds > (this.#longestPause?.milliseconds ?? 0);
    if (!isFirst && isLongest) {
      this.#longestPause = { milliseconds, endedAt: now };
    }
  }

  /** Whether an attempt that has ended may have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Status and headers of the answer. */
  get head(): AnswerHeadMessage | undefined {
    return this.#head;
  }

  /** Chunks of the answer that are held until it is complete. */
  get heldChunks(): readonly Uint8Array[] {
    return this.#heldChunks;
  }

  /** The caller's position in the answer, if it is an event stream. */
  get cursor(): EventStreamCursor | undefined {
    return this.#cursor;
  }

  /** Whether another target can continue the answer. */
  get isResumable(): boolean {
    return this.#cursor !== undefined && this.route.service.resumable;
  }

  /** Whether the service's settings allow another attempt. */
  get hasAttemptsLeft(): boolean {
    return this.#attempt < this.route.service.mostAttempts;
  }

  /** Whether the request has an idempotency key. */
  get isKeyed(): boolean {
    return this.request.idempotencyKey !== undefined;
  }

  /** Whether the request is idempotent by the service's settings. */
  get isIdempotent(): boolean {
    return this.route.service.idempotentMethods.includes(this.request.method);
  }

  /**
   * The priority by which the request is ranked. An organisation's priority counts where
   * the services of the pool differ in priority.
   */
  get priority(): Priority {
    const { poolPriorities, request, route } = this;
    const ofOrganisation = poolPriorities === undefined
      ? undefined
      : route.limits.priority;
    return request.priority ?? ofOrganisation ?? route.service.priority;
  }

  /** Whether the target was tried before. */
  hasTried(targetName: string): boolean {
    return this.#triedTargets.has(targetName);
  }

  /** Keeps a complete error answer, which another attempt may replace. */
  keepFallbackAnswer(): void {
    if (this.#head === undefined || !this.isHeldUntilComplete) return;
    this.#fallbackAnswer = { head: this.#head, chunks: this.#heldChunks };
  }

  /** Restores the kept error answer; returns false if there is none or it is too late. */
  tryRestoreFallbackAnswer(): boolean {
    if (this.#fallbackAnswer === undefined || this.#isStreaming) return false;
    this.#head = this.#fallbackAnswer.head;
    this.#heldChunks = [...this.#fallbackAnswer.chunks];
    return true;
  }

  /** Allows another attempt at the last target, which did not receive the request. */
  allowLastTargetAgain(): void {
    this.#triedTargets.delete(this.#lastTargetName ?? "");
  }

  /** Starts the next attempt; messages of earlier ones become stale. */
  startAttempt(targetName: string, now: number): void {
    this.#attempt++;
    this.#attemptStartedAt = now;
    this.#targetName = targetName;
    this.#lastTargetName = targetName;
    this.#triedTargets.add(targetName);
    this.#expectedSequence = 0;
    this.#byteCount = 0;
    this.#head = undefined;
    this.#heldChunks = [];
    this.#cursor?.startAttempt();
  }

  /** Records that the answer is sent to the caller as it arrives. */
  startStreaming(): void {
    this.#isStreaming = true;
  }

  /** Ends the current attempt, which gave no complete answer. */
  endAttempt(submission: Outcome): void {
    this.#targetName = undefined;
    if (submission === "unknown") this.#mayHaveRun = true;
  }

  /** Handles the next message of the answer. */
  receive(message: AnswerMessage): AnswerProgress {
    if (message.sequence !== this.#expectedSequence) return { kind: "broken" };
    this.#expectedSequence++;
    switch (message.kind) {
      case "answer_head":
        return this.#receiveHead(message);
      case "answer_data":
        return this.#receiveData(message);
      case "answer_end":
        return this.#receiveEnd(message);
    }
  }

  #receiveHead(message: AnswerHeadMessage): AnswerProgress {
    if (message.sequence !== 0) return { kind: "broken" };
    this.#head = message;
    if (this.#isStreaming && !isEventStream(message)) return { kind: "broken" };
    if (isEventStream(message)) {
      this.#cursor ??= new EventStreamCursor(tryGetLastEventId(this.request));
    }
    return { kind: "continues" };
  }

  /** Whether the answer is sent to the caller only when it is complete. */
  get isHeldUntilComplete(): boolean {
    return this.#head !== undefined && !this.#isStreaming &&
      isShortAnswer(this.#head.headers);
  }

  #receiveData(message: AnswerDataMessage): AnswerProgress {
    if (this.#head === undefined) return { kind: "broken" };
    this.#byteCount += message.bytes.length;
    if (this.isHeldUntilComplete) this.#heldChunks.push(message.bytes);
    return { kind: "continues" };
  }

  /**
   * Whether a stream without a length has ended in the middle of an event, as it does if
   * its target crashes and the connection is closed in order.
   */
  get #endsInsideEvent(): boolean {
    return this.#head?.endsWithConnection === true &&
      this.#cursor?.isInsideEvent === true;
  }

  #receiveEnd(message: AnswerEndMessage): AnswerProgress {
    const isWhole = this.#head !== undefined && !this.#endsInsideEvent &&
      message.byteCount === this.#byteCount &&
      hasStatedLength(this.#head, this.request.method, this.#byteCount);
    return { kind: isWhole ? "continues" : "broken" };
  }
}

function isEventStream(head: AnswerHeadMessage): boolean {
  const type = head.headers.find(([name]) => name === "content-type");
  return head.status === 200 && type !== undefined &&
    type[1].toLowerCase().startsWith(EVENT_STREAM_TYPE);
}

function tryGetLastEventId(request: CallerRequest): string | undefined {
  return request.headers.find(([name]) => name === LAST_EVENT_ID_HEADER)?.[1];
}

function isShortAnswer(headers: readonly Header[]): boolean {
  const length = tryGetContentLength(headers);
  return length !== undefined && length <= MAX_HELD_ANSWER_BYTES;
}

function hasStatedLength(
  head: AnswerHeadMessage,
  method: string,
  byteCount: number,
): boolean {
  const hasNoBody = method === "HEAD" || head.status === 204 ||
    head.status === 304;
  if (hasNoBody) return byteCount === 0;
  const length = tryGetContentLength(head.headers);
  return length === undefined || length === byteCount;
}

function tryGetContentLength(headers: readonly Header[]): number | undefined {
  const header = headers.find(([name]) => name === "content-length");
  if (header === undefined || !/^\d+$/.test(header[1])) return undefined;
  return Number(header[1]);
}
