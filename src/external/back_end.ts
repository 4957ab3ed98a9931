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
  /** Milliseconds within which the answer must be complete. */
  readonly limitMs: number;
  /** Organisation that sent the request; undefined: it is not sent to the back end. */
  readonly organisation?: string;
  /**
   * Priority among the requests that wait at the back end, 0 first; undefined: the
   * default.
   */
  readonly priority?: Priority;
  /** Incarnation that may run the request; undefined: any. */
  readonly instance?: string;
  /**
   * Returns whether the request may still be sent. Called once its connection is ready,
   * before the first byte is sent; undefined: it may.
   */
  readonly mayBegin?: () => boolean;
}

/**
 * Why a call failed to produce a complete answer: `not_begun` if no byte of the request
 * can have reached the back end; `withheld` if the request was no longer to be sent
 * once its connection was ready; `full` if the back end replied that it did not run the
 * request; `group_lost` if it did not run it because another rank of its group is gone;
 * `wrong_instance` if another incarnation has its address; `late` if the time limit
 * passed; `broken` otherwise.
 */
export type BackEndFailure =
  | "not_begun"
  | "withheld"
  | "full"
  | "group_lost"
  | "wrong_instance"
  | "late"
  | "broken";

/** Returns whether a failure implies that the back end did not run the request. */
export function isNotRun(failure: BackEndFailure): boolean {
  return failure === "not_begun" || failure === "withheld" ||
    failure === "full" || failure === "group_lost" ||
    failure === "wrong_instance";
}

/** Load of a back end, as reported with an answer. */
export interface BackEndLoad {
  readonly running: number;
  readonly queued: number;
}

/** How the end of an answer is determined. */
export interface AnswerFraming {
  /**
   * The answer has neither a length nor chunks, so it ends when its connection closes.
   * A complete answer can't be distinguished from one whose sender has crashed.
   */
  readonly endsWithConnection: boolean;
}

/** Receives the events of one call in order; the last is `onEnd` or `onFailed`. */
export interface BackEndListener {
  onHead(
    status: number,
    headers: readonly Header[],
    framing?: AnswerFraming,
  ): void;
  onData(bytes: Uint8Array): void;
  onEnd(): void;
  onFailed(failure: BackEndFailure): void;
  /** Called before `onHead` or `onFailed` if the back end reported its load. */
  onLoad?(load: BackEndLoad): void;
  /**
   * Called before `onFailed` with the id of the lost rank because of which the request
   * did not run.
   */
  onLostPeer?(id: string): void;
  /** Called before `onHead` or `onFailed` if the back end itself answered. */
  onNotice?(notice: BackEndNotice): void;
  /**
   * Called before `onHead` with the milliseconds for which the connection can be reused
   * after this call; 0 if it closes with the call.
   */
  onConnectionReusable?(milliseconds: number): void;
}

/** A call in progress. */
export interface BackEndCall {
  /** Cancels the call; `onFailed` follows unless the call has ended. */
  cancel(): void;
  /**
   * Stops reading the answer until {@link BackEndCall.resume}. Data that was read
   * already may still be delivered. While the call is paused, the end of the answer is
   * not lost, a reset fails the call, and its time limit continues to run.
   */
  pause(): void;
  /** Continues to read the answer. */
  resume(): void;
  /** Bytes of the answer that are received but unread while the call is paused. */
  readonly unreadBytes: number;
}

/** The model engine or plain service behind a target. */
export abstract class BackEnd {
  /** Starts a call. */
  abstract start(
    request: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall;

  /** Closes idle connections. */
  abstract close(): Promise<void>;
}
