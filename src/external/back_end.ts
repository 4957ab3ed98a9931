/**
 * The model engine or plain service behind a target.
 *
 * @module
 */
import type { Header } from "../messages/types.ts";

/** A request to a back end. */
export interface BackEndRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Milliseconds in which the whole answer must have come. */
  readonly limitMs: number;
}

/**
 * Why a call gave no whole answer: `not_begun` only if no byte of the request
 * can have reached the back end, `late` if its limit passed, `broken` otherwise.
 */
export type BackEndFailure = "not_begun" | "late" | "broken";

/** Hears of one call, in order; the last is `onEnd` or `onFailed`. */
export interface BackEndListener {
  onHead(status: number, headers: readonly Header[]): void;
  onData(bytes: Uint8Array): void;
  onEnd(): void;
  onFailed(failure: BackEndFailure): void;
}

/** A call under way. */
export interface BackEndCall {
  /** Breaks the call off; `onFailed` follows unless it had ended. */
  cancel(): void;
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
