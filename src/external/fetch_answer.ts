/**
 * Calls a back end and returns its complete answer.
 *
 * @module
 */
import type {
  BackEnd,
  BackEndCall,
  BackEndFailure,
  BackEndRequest,
} from "./back_end.ts";
import type { Header } from "../messages/types.ts";

/**
 * Bytes of the largest answer that is kept whole. Pages of lists are a fraction of it, and
 * a process with 200 MB of memory can hold a few at the same time.
 */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** A complete answer. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly text: string;
}

/** Thrown when a call fails to produce a complete answer. */
export class CallFailedError extends Error {
  /** The reason. */
  readonly failure: BackEndFailure;

  /** Creates an error with the reason in its message. */
  constructor(failure: BackEndFailure) {
    super(`No complete answer: ${failure}`);
    this.failure = failure;
  }
}

/** Options of a call. */
export interface FetchAnswerOptions {
  readonly signal?: AbortSignal;
}

/**
 * Calls a back end and awaits its complete answer. The client library's own promises
 * are not used, as their streams and signals take as much processor time as the call
 * itself. An answer that is too large to be kept fails the call.
 *
 * @example
 * ```ts
 * const { status, text } = await fetchAnswer(backEnd, request);
 * ```
 *
 * @throws {CallFailedError} when the call fails
 */
export function fetchAnswer(
  backEnd: BackEnd,
  request: BackEndRequest,
  { signal }: FetchAnswerOptions = {},
): Promise<CompleteAnswer> {
  return new Promise((resolve, reject) => {
    const decoder = new TextDecoder();
    let status = 0;
    let headers: readonly Header[] = [];
    let text = "";
    let byteCount = 0;
    // The call may fail before `start` returns.
    let call: BackEndCall | undefined = undefined;
    const onAbort = () => call?.cancel();
    const removeAbortListener = () =>
      signal?.removeEventListener("abort", onAbort);
    signal?.addEventListener("abort", onAbort, { once: true });
    call = backEnd.start(request, {
      onHead: (answeredStatus, answeredHeaders) => {
        status = answeredStatus;
        headers = answeredHeaders;
      },
      onData: (bytes) => {
        byteCount += bytes.length;
        if (byteCount > MAX_ANSWER_BYTES) call?.cancel();
        else text += decoder.decode(bytes, { stream: true });
      },
      onEnd: () => {
        removeAbortListener();
        resolve({ status, headers, text: text + decoder.decode() });
      },
      onFailed: (failure) => {
        removeAbortListener();
        reject(new CallFailedError(failure));
      },
    });
    if (signal?.aborted) onAbort();
  });
}
