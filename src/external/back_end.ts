/**
 * The model engine or plain service behind a target.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type { Header } from "../messages/types.ts";

/** A request to a back end. */
export interface BackEndRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Milliseconds in which the whole answer must have come. */
  readonly limitMs: number;
  /** Organisation whose request it is; undefined: the back end is not told. */
  readonly organisation?: string;
  /** How urgent it is among others that wait there, 0 first; undefined: as usual. */
  readonly priority?: Priority;
  /** Incarnation that alone may run it; undefined: whichever answers. */
  readonly instance?: string;
  /**
   * Whether it may still be sent. Asked once its connection is ready, before the first byte;
   * undefined: it may.
   */
  readonly mayBegin?: () => boolean;
}

/**
 * Why a call gave no whole answer: `not_begun` only if no byte of the request
 * can have reached the back end, `withheld` if it was not to be sent any more once its
 * connection was ready, `full` if the back end said that it did not run
 * the request, `group_lost` if it did not since another rank of its group is gone,
 * `wrong_instance` if another incarnation has its address, `late`
 * if the limit passed, `broken` otherwise.
 */
export type BackEndFailure =
  | "not_begun"
  | "withheld"
  | "full"
  | "group_lost"
  | "wrong_instance"
  | "late"
  | "broken";

/** Whether a failure means that the back end did not run the request. */
export function isNotRun(failure: BackEndFailure): boolean {
  return failure === "not_begun" || failure === "withheld" ||
    failure === "full" || failure === "group_lost" ||
    failure === "wrong_instance";
}

/** Load of a back end, as it told with an answer. */
export interface BackEndLoad {
  readonly running: number;
  readonly queued: number;
}

/** How the end of an answer is known. */
export interface AnswerFraming {
  /**
   * The answer says neither length nor chunks: it ends with its connection, and
   * nobody can tell a whole one from one whose sender has crashed.
   */
  readonly endsWithConnection: boolean;
}

/** Hears of one call, in order; the last is `onEnd` or `onFailed`. */
export interface BackEndListener {
  onHead(
    status: number,
    headers: readonly Header[],
    framing?: AnswerFraming,
  ): void;
  onData(bytes: Uint8Array): void;
  onEnd(): void;
  onFailed(failure: BackEndFailure): void;
  /** Comes before `onHead` or `onFailed` when the back end told its load. */
  onLoad?(load: BackEndLoad): void;
  /** Comes before `onFailed`: the back end whose loss kept this one from its work, by id. */
  onLostPeer?(id: string): void;
  /** Comes before `onHead` or `onFailed` when the back end itself answered. */
  onNotice?(notice: BackEndNotice): void;
  /**
   * Comes before `onHead`: milliseconds for which the connection can carry another call
   * once this one has ended; 0 if it ends with it.
   */
  onKept?(milliseconds: number): void;
}

/** A call under way. */
export interface BackEndCall {
  /** Breaks the call off; `onFailed` follows unless it had ended. */
  cancel(): void;
  /**
   * Reads no more of the answer until {@link BackEndCall.resume}. Some pieces may still
   * come. The end is not lost, a reset fails the call, and its limit keeps running.
   */
  pause(): void;
  /** Reads on. */
  resume(): void;
  /** Bytes of the answer that the process holds unread while the call is paused. */
  readonly unreadBytes: number;
}

/** The model engine or plain service behind a target. */
export abstract class BackEnd {
  /** Calls the back end. */
  abstract start(
    request: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall;

  /** Closes idle connections. */
  abstract close(): Promise<void>;
}
