/**
 * Decides what becomes of callers that read slowly: whose back end is paused and resumed,
 * who is cut, and whether request bodies may be read.
 *
 * @module
 */

/** Unread bytes of one caller above which its back end is paused. */
export const PAUSE_BYTES = 64 * 1024;
/** Unread bytes of one caller at which its back end is resumed. */
const RESUME_BYTES = 16 * 1024;
/** Milliseconds without taking a byte after which a caller counts as stalled. */
const STALLED_MS = 1000;
/** Part of the limit that request bodies may take, so that they do not cut answers. */
const BODIES_PART = 0.75;

/** The back end of a caller's answer is to be paused. */
export interface PauseAnswer {
  readonly kind: "pause";
  readonly caller: number;
  readonly unreadBytes: number;
}

/** The back end of a caller's answer is to be resumed. */
export interface ResumeAnswer {
  readonly kind: "resume";
  readonly caller: number;
  readonly pausedMs: number;
}

/** A caller's connection is to be cut. */
export interface CutCaller {
  readonly kind: "cut";
  readonly caller: number;
  /** Bytes that the process held for it. */
  readonly unreadBytes: number;
  /** Milliseconds since it last took something. */
  readonly stalledMs: number;
  /** Bytes held for all callers before the cut. */
  readonly heldBytes: number;
}

/** What is to be done so that the bytes held stay within the limit. */
export type HeldBytesOrder = PauseAnswer | ResumeAnswer | CutCaller;

/** Whether a request body may be read, and who is cut for it. */
export interface BodyDecision {
  readonly isAllowed: boolean;
  readonly orders: readonly HeldBytesOrder[];
}

/** What is held of one caller's answer. */
export interface HeldAnswer {
  /** Bytes that were written for the caller and not sent. */
  readonly unsentBytes: number;
  /** Bytes that the paused call to the back end has received and not passed on. */
  readonly receivedBytes: number;
}

interface SlowCaller {
  readonly answer: HeldAnswer;
  /** When it last took something, in milliseconds. */
  readonly tookAt: number;
  /** When its back end was paused; undefined: it is not. */
  readonly pausedAt: number | undefined;
}

/** Bytes held for each caller, and their sum. */
export class HeldBytes {
  readonly limitBytes: number;
  readonly #callers = new Map<number, SlowCaller>();
  readonly #bodies = new Map<number, number>();
  /** Callers that are being cut; what is still noted of them changes nothing. */
  readonly #cut = new Set<number>();
  #answerBytes = 0;
  #bodyBytes = 0;
  #paused = 0;

  /** Holds nothing; `limitBytes` bounds the sum over all callers. */
  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Bytes of answers that callers have not taken. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Bytes of request bodies. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Bytes held in all. */
  get heldBytes(): number {
    return this.#answerBytes + this.#bodyBytes;
  }

  /** Callers whose back ends are paused. */
  get pausedCallers(): number {
    return this.#paused;
  }

  /** Whether the caller's back end is paused. */
  isPaused(caller: number): boolean {
    return this.#callers.get(caller)?.pausedAt !== undefined;
  }

  /** Callers that have bytes to take. */
  slowCallers(): readonly number[] {
    return [...this.#callers.keys()];
  }

  /**
   * Takes in what is held of an answer, before and after each write and while the buffer empties.
   *
   * @example
   * ```ts
   * const answer = { unsentBytes: 70_000, receivedBytes: 0 };
   * held.noteAnswer(7, answer, now); // [{ kind: "pause", caller: 7, ... }]
   * ```
   */
  noteAnswer(
    caller: number,
    answer: HeldAnswer,
    now: number,
  ): readonly HeldBytesOrder[] {
    if (this.#cut.has(caller)) return [];
    const previous = this.#callers.get(caller);
    const hasGrown = totalOf(answer) > totalOf(previous?.answer);
    const known = previous?.answer.unsentBytes ?? 0;
    const hasTaken = known === 0 || answer.unsentBytes < known;
    const tookAt = hasTaken ? now : previous?.tookAt ?? now;
    const order = this.#planReading(caller, answer.unsentBytes, now);
    this.#set(caller, {
      answer,
      tookAt,
      pausedAt: pausedAtOf(order, previous, now),
    });
    const orders = order === undefined ? [] : [order];
    return hasGrown ? [...orders, ...this.#cutWhileOver(now)] : orders;
  }

  /** Whether a request body of this length, 0 if it is not known, may be read. */
  mayReadBody(declaredBytes: number): boolean {
    return this.#fits(declaredBytes);
  }

  /** Takes in that so many bytes more of a request body were read. */
  noteBody(caller: number, bytes: number, now: number): BodyDecision {
    this.#bodies.set(caller, (this.#bodies.get(caller) ?? 0) + bytes);
    this.#bodyBytes += bytes;
    const orders = this.#cutStalledWhileOver(now);
    return { isAllowed: this.#fits(0), orders };
  }

  /** Nothing is held of the caller's request body any more. */
  forgetBody(caller: number): void {
    this.#bodyBytes -= this.#bodies.get(caller) ?? 0;
    this.#bodies.delete(caller);
  }

  /** The caller's connection is closed, or has taken all. */
  forget(caller: number): void {
    this.forgetBody(caller);
    this.#remove(caller);
    this.#cut.delete(caller);
  }

  #fits(moreBytes: number): boolean {
    return this.heldBytes + moreBytes <= this.limitBytes &&
      this.#bodyBytes + moreBytes <= BODIES_PART * this.limitBytes;
  }

  #planReading(
    caller: number,
    unreadBytes: number,
    now: number,
  ): PauseAnswer | ResumeAnswer | undefined {
    const pausedAt = this.#callers.get(caller)?.pausedAt;
    if (pausedAt === undefined) {
      if (unreadBytes <= PAUSE_BYTES) return undefined;
      return { kind: "pause", caller, unreadBytes };
    }
    if (unreadBytes > RESUME_BYTES) return undefined;
    return { kind: "resume", caller, pausedMs: now - pausedAt };
  }

  #set(caller: number, state: SlowCaller): void {
    this.#remove(caller);
    if (totalOf(state.answer) === 0) return;
    this.#callers.set(caller, state);
    this.#answerBytes += totalOf(state.answer);
    if (state.pausedAt !== undefined) this.#paused++;
  }

  #remove(caller: number): void {
    const state = this.#callers.get(caller);
    if (state === undefined) return;
    this.#callers.delete(caller);
    this.#answerBytes -= totalOf(state.answer);
    if (state.pausedAt !== undefined) this.#paused--;
  }

  #cutWhileOver(now: number): readonly CutCaller[] {
    const orders = [...this.#cutStalledWhileOver(now)];
    while (this.heldBytes > this.limitBytes) {
      const caller = this.#tryFindLargest(() => true);
      if (caller === undefined) break;
      orders.push(this.#cutCaller(caller, now));
    }
    return orders;
  }

  #cutStalledWhileOver(now: number): readonly CutCaller[] {
    const orders: CutCaller[] = [];
    while (this.heldBytes > this.limitBytes) {
      const caller = this.#tryFindLargest(({ tookAt }) =>
        now - tookAt >= STALLED_MS
      );
      if (caller === undefined) break;
      orders.push(this.#cutCaller(caller, now));
    }
    return orders;
  }

  #tryFindLargest(
    isCandidate: (state: SlowCaller) => boolean,
  ): number | undefined {
    let largest: number | undefined;
    let largestBytes = 0;
    for (const [caller, state] of this.#callers) {
      const bytes = totalOf(state.answer);
      if (bytes <= largestBytes || !isCandidate(state)) continue;
      largest = caller;
      largestBytes = bytes;
    }
    return largest;
  }

  #cutCaller(caller: number, now: number): CutCaller {
    const state = this.#callers.get(caller);
    const { heldBytes } = this;
    this.#remove(caller);
    this.#cut.add(caller);
    return {
      kind: "cut",
      caller,
      unreadBytes: totalOf(state?.answer),
      stalledMs: Math.round(now - (state?.tookAt ?? now)),
      heldBytes,
    };
  }
}

function totalOf(answer: HeldAnswer | undefined): number {
  if (answer === undefined) return 0;
  return answer.unsentBytes + answer.receivedBytes;
}

function pausedAtOf(
  order: PauseAnswer | ResumeAnswer | undefined,
  previous: SlowCaller | undefined,
  now: number,
): number | undefined {
  if (order === undefined) return previous?.pausedAt;
  return order.kind === "pause" ? now : undefined;
}
