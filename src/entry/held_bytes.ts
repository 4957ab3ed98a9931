/**
 * Bounds the memory that slow callers occupy: decides which back ends to pause and
 * resume, which callers to cut off, and whether request bodies may be read.
 *
 * @module
 */
import { HeldBodies } from "./held_bodies.ts";

/** Unsent bytes of one caller above which its back end is paused. */
export const PAUSE_THRESHOLD_BYTES = 64 * 1024;
/** Unsent bytes of one caller at or below which its back end is resumed. */
const RESUME_THRESHOLD_BYTES = 16 * 1024;
/** Milliseconds without reading a byte after which a caller counts as stalled. */
const STALL_TIMEOUT_MS = 1000;
/** Share of the limit that bodies may occupy, so that they don't displace answers. */
const MAX_BODY_SHARE = 0.75;
/**
 * Share of the limit up to which a large body counts, of which there may be one: a body
 * that a service allows may be larger than the limit.
 */
const LARGE_BODY_SHARE = 0.25;
/** Shares of the limit that answers and other bodies may occupy beside a large body. */
const MAX_ANSWERS_BESIDE = 0.5;
const MAX_BODIES_BESIDE = 0.25;

/** Pauses the back end of a caller's answer. */
export interface PauseAnswer {
  readonly kind: "pause";
  readonly caller: number;
  readonly unreadBytes: number;
}

/** Resumes the back end of a caller's answer. */
export interface ResumeAnswer {
  readonly kind: "resume";
  readonly caller: number;
  readonly pausedMs: number;
}

/** Cuts off a caller by closing its connection. */
export interface CutCaller {
  readonly kind: "cut";
  readonly caller: number;
  /** Bytes that the process held for the caller's answer. */
  readonly unreadBytes: number;
  /** Milliseconds since the caller last read a byte. */
  readonly stalledMs: number;
  /** Bytes held for all callers before the cut. */
  readonly heldBytes: number;
}

/** Refuses a request whose body is not complete. */
export interface RefuseBody {
  readonly kind: "refuse_body";
  readonly caller: number;
  /** Bytes that the process held of the body. */
  readonly bodyBytes: number;
}

/** An action that keeps the held bytes within the limit. */
export type HeldBytesAction =
  | PauseAnswer
  | ResumeAnswer
  | CutCaller
  | RefuseBody;

/** Whether a request body may be read, and the actions that make room for it. */
export interface BodyDecision {
  readonly isAllowed: boolean;
  readonly actions: readonly HeldBytesAction[];
}

/** Bytes held of one caller's answer. */
export interface HeldAnswer {
  /** Bytes that were written for the caller but not sent. */
  readonly unsentBytes: number;
  /** Bytes that the paused call to the back end has received but not delivered. */
  readonly receivedBytes: number;
}

interface SlowCaller {
  readonly answer: HeldAnswer;
  /** When the caller last read a byte, in milliseconds. */
  readonly progressAt: number;
  /** When its back end was paused; undefined if it is not paused. */
  readonly pausedAt: number | undefined;
}

/** Tracks the bytes held for each caller, and their sum. */
export class HeldBytes {
  readonly limitBytes: number;
  readonly #callers = new Map<number, SlowCaller>();
  readonly #bodies = new HeldBodies();
  /** Callers that are being cut off; updates of their answers are ignored. */
  readonly #cutCallers = new Set<number>();
  /** The caller whose body may be larger than the share of all bodies. */
  #largeBodyCaller: number | undefined;
  #answerBytes = 0;
  #pausedCount = 0;

  /** Creates an empty tracker; `limitBytes` bounds the sum over all callers. */
  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Bytes of answers that callers have not read. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Bytes of request bodies. */
  get bodyBytes(): number {
    return this.#bodies.bytes;
  }

  /** Bytes held in total. */
  get heldBytes(): number {
    return this.#answerBytes + this.#bodies.bytes;
  }

  /** Number of callers whose back ends are paused. */
  get pausedCallers(): number {
    return this.#pausedCount;
  }

  /** Whether the caller's back end is paused. */
  isPaused(caller: number): boolean {
    return this.#callers.get(caller)?.pausedAt !== undefined;
  }

  /** Returns the callers that have unread bytes. */
  getSlowCallers(): readonly number[] {
    return [...this.#callers.keys()];
  }

  /**
   * Updates the bytes held of an answer; called before and after each write and when the
   * buffer is empty.
   *
   * @example
   * ```ts
   * const answer = { unsentBytes: 70_000, receivedBytes: 0 };
   * held.updateAnswer(7, answer, now); // [{ kind: "pause", caller: 7, ... }]
   * ```
   */
  updateAnswer(
    caller: number,
    answer: HeldAnswer,
    now: number,
  ): readonly HeldBytesAction[] {
    if (this.#cutCallers.has(caller)) return [];
    const previous = this.#callers.get(caller);
    const hasGrown = getTotalBytes(answer) > getTotalBytes(previous?.answer);
    const previousBytes = previous?.answer.unsentBytes ?? 0;
    const hasRead = previousBytes === 0 || answer.unsentBytes < previousBytes;
    const progressAt = hasRead ? now : previous?.progressAt ?? now;
    const action = this.#planFlowControl(caller, answer.unsentBytes, now);
    this.#setCaller(caller, {
      answer,
      progressAt,
      pausedAt: getPausedAt(action, previous, now),
    });
    const actions = action === undefined ? [] : [action];
    return hasGrown ? [...actions, ...this.#cutUntilWithinLimit(now)] : actions;
  }

  /** Whether a request body of this length may be read; the length is 0 if unknown. */
  canReadBody(declaredBytes: number): boolean {
    return this.#canHold(declaredBytes);
  }

  /** Makes room for a request body; the length is 0 if unknown. */
  makeRoomForBody(
    caller: number,
    declaredBytes: number,
    now: number,
  ): BodyDecision {
    if (this.#tryFit(caller, declaredBytes)) {
      return { isAllowed: true, actions: [] };
    }
    const actions = this.#refuseUntilWithinLimit(caller, declaredBytes, now);
    return { isAllowed: this.#tryFit(caller, declaredBytes), actions };
  }

  /** Records how much of a request body has arrived. */
  recordBodyProgress(caller: number, receivedBytes: number, now: number): void {
    this.#bodies.recordProgress(caller, receivedBytes, now);
  }

  /** Adds bytes of a request body that were read. */
  addBodyBytes(caller: number, bytes: number, now: number): BodyDecision {
    this.#bodies.add(caller, bytes, now);
    this.#tryFit(caller, 0);
    const cuts = this.#cutStalledUntilWithinLimit(now);
    const refusals = this.#refuseUntilWithinLimit(caller, 0, now);
    return { isAllowed: this.#canHold(0), actions: [...cuts, ...refusals] };
  }

  /** Keeps a request body that was read completely. */
  completeBody(caller: number): void {
    this.#bodies.complete(caller);
  }

  /** Releases the bytes of the caller's request body. */
  releaseBody(caller: number): void {
    this.#bodies.release(caller);
    if (this.#largeBodyCaller === caller) this.#largeBodyCaller = undefined;
  }

  /** Releases all bytes of a caller whose answer was sent or whose connection closed. */
  release(caller: number): void {
    this.releaseBody(caller);
    this.#removeCaller(caller);
    this.#cutCallers.delete(caller);
  }

  /** Whether bytes fit without giving up others; they may make the body a large one. */
  #tryFit(caller: number, moreBytes: number): boolean {
    return this.#canHold(moreBytes) ||
      this.#tryAllowLargeBody(caller, moreBytes);
  }

  #canHold(moreBytes: number): boolean {
    const bodyBytes = this.#countedBodyBytes + moreBytes;
    return this.#answerBytes + bodyBytes <= this.limitBytes &&
      bodyBytes <= MAX_BODY_SHARE * this.limitBytes;
  }

  /** Bytes of all bodies, of which a large one counts in part. */
  get #countedBodyBytes(): number {
    if (this.#largeBodyCaller === undefined) return this.#bodies.bytes;
    const largeBytes = this.#bodies.getBytes(this.#largeBodyCaller);
    const countedBytes = LARGE_BODY_SHARE * this.limitBytes;
    return this.#bodies.bytes - Math.max(0, largeBytes - countedBytes);
  }

  get #isOverLimit(): boolean {
    return this.#answerBytes + this.#countedBodyBytes > this.limitBytes;
  }

  /** Allows one body to be larger than the share of all bodies while others are small. */
  #tryAllowLargeBody(caller: number, moreBytes: number): boolean {
    if (this.#largeBodyCaller === caller) return true;
    const bytes = this.#bodies.getBytes(caller);
    const isLarge = bytes + moreBytes > LARGE_BODY_SHARE * this.limitBytes;
    const hasRoom = this.#largeBodyCaller === undefined &&
      this.#answerBytes <= MAX_ANSWERS_BESIDE * this.limitBytes &&
      this.#bodies.bytes - bytes <= MAX_BODIES_BESIDE * this.limitBytes;
    if (isLarge && hasRoom) this.#largeBodyCaller = caller;
    return isLarge && hasRoom;
  }

  /** Refuses a large body that is not complete when answers need its memory. */
  #refuseLargeBody(): readonly RefuseBody[] {
    const caller = this.#largeBodyCaller;
    const isNeeded = this.#answerBytes > MAX_ANSWERS_BESIDE * this.limitBytes;
    if (caller === undefined || !isNeeded) return [];
    if (this.#bodies.isComplete(caller)) return [];
    return [this.#refuseBody(caller)];
  }

  #refuseBody(caller: number): RefuseBody {
    const bodyBytes = this.#bodies.getBytes(caller);
    this.releaseBody(caller);
    return { kind: "refuse_body", caller, bodyBytes };
  }

  #planFlowControl(
    caller: number,
    unreadBytes: number,
    now: number,
  ): PauseAnswer | ResumeAnswer | undefined {
    const pausedAt = this.#callers.get(caller)?.pausedAt;
    if (pausedAt === undefined) {
      if (unreadBytes <= PAUSE_THRESHOLD_BYTES) return undefined;
      return { kind: "pause", caller, unreadBytes };
    }
    if (unreadBytes > RESUME_THRESHOLD_BYTES) return undefined;
    return { kind: "resume", caller, pausedMs: now - pausedAt };
  }

  #setCaller(caller: number, state: SlowCaller): void {
    this.#removeCaller(caller);
    if (getTotalBytes(state.answer) === 0) return;
    this.#callers.set(caller, state);
    this.#answerBytes += getTotalBytes(state.answer);
    if (state.pausedAt !== undefined) this.#pausedCount++;
  }

  #removeCaller(caller: number): void {
    const state = this.#callers.get(caller);
    if (state === undefined) return;
    this.#callers.delete(caller);
    this.#answerBytes -= getTotalBytes(state.answer);
    if (state.pausedAt !== undefined) this.#pausedCount--;
  }

  #cutUntilWithinLimit(now: number): readonly HeldBytesAction[] {
    const actions: HeldBytesAction[] = [
      ...this.#refuseLargeBody(),
      ...this.#cutStalledUntilWithinLimit(now),
    ];
    while (this.#isOverLimit) {
      const caller = this.#tryFindLargest(() => true);
      if (caller === undefined) break;
      actions.push(this.#cutCaller(caller, now));
    }
    return actions;
  }

  #cutStalledUntilWithinLimit(now: number): readonly CutCaller[] {
    const actions: CutCaller[] = [];
    while (this.#isOverLimit) {
      const caller = this.#tryFindLargest(({ progressAt }) =>
        now - progressAt >= STALL_TIMEOUT_MS
      );
      if (caller === undefined) break;
      actions.push(this.#cutCaller(caller, now));
    }
    return actions;
  }

  /** Gives up bodies that do not get on until `moreBytes` fit. */
  #refuseUntilWithinLimit(
    caller: number,
    moreBytes: number,
    now: number,
  ): readonly RefuseBody[] {
    const actions: RefuseBody[] = [];
    const bytes = this.#bodies.getBytes(caller) + moreBytes;
    while (!this.#canHold(moreBytes)) {
      const victim = this.#bodies.tryFindVictim({ caller, bytes }, now);
      if (victim === undefined) break;
      actions.push(this.#refuseBody(victim));
    }
    return actions;
  }

  #tryFindLargest(
    isCandidate: (state: SlowCaller) => boolean,
  ): number | undefined {
    let largest: number | undefined;
    let largestBytes = 0;
    for (const [caller, state] of this.#callers) {
      const bytes = getTotalBytes(state.answer);
      if (bytes <= largestBytes || !isCandidate(state)) continue;
      largest = caller;
      largestBytes = bytes;
    }
    return largest;
  }

  #cutCaller(caller: number, now: number): CutCaller {
    const state = this.#callers.get(caller);
    const { heldBytes } = this;
    this.#removeCaller(caller);
    this.#cutCallers.add(caller);
    return {
      kind: "cut",
      caller,
      unreadBytes: getTotalBytes(state?.answer),
      stalledMs: Math.round(now - (state?.progressAt ?? now)),
      heldBytes,
    };
  }
}

function getTotalBytes(answer: HeldAnswer | undefined): number {
  if (answer === undefined) return 0;
  return answer.unsentBytes + answer.receivedBytes;
}

function getPausedAt(
  action: PauseAnswer | ResumeAnswer | undefined,
  previous: SlowCaller | undefined,
  now: number,
): number | undefined {
  if (action === undefined) return previous?.pausedAt;
  return action.kind === "pause" ? now : undefined;
}
