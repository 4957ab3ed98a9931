/**
 * A call whose answer is awaited whole.
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

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly text: string;
}

/** A call gave no whole answer. */
export class CallFailedError extends Error {
  /** Why. */
  readonly failure: BackEndFailure;

  /** Names the failure. */
  constructor(failure: BackEndFailure) {
    super(`No whole answer: ${failure}`);
    this.failure = failure;
  }
}

/** What breaks a call off, beside its limit. */
export interface WholeCallOptions {
  readonly signal?: AbortSignal;
}

/**
 * Calls a back end and awaits its whole answer. Cheaper than the client library's own
 * promises, whose streams and signals take as much processor time as the call itself.
 *
 * @example
 * ```ts
 * const { status, text } = await callWhole(backEnd, request);
 * ```
 *
 * @throws {CallFailedError} when there is no whole answer
 */
export function callWhole(
  backEnd: BackEnd,
  request: BackEndRequest,
  { signal }: WholeCallOptions = {},
): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const decoder = new TextDecoder();
    let status = 0;
    let headers: readonly Header[] = [];
    let text = "";
    // A call may fail before it is returned.
    let call: BackEndCall | undefined = undefined;
    const onAbort = () => call?.cancel();
    const end = () => signal?.removeEventListener("abort", onAbort);
    signal?.addEventListener("abort", onAbort, { once: true });
    call = backEnd.start(request, {
      onHead: (answered, answeredHeaders) => {
        status = answered;
        headers = answeredHeaders;
      },
      onData: (bytes) => text += decoder.decode(bytes, { stream: true }),
      onEnd: () => {
        end();
        resolve({ status, headers, text: text + decoder.decode() });
      },
      onFailed: (failure) => {
        end();
        reject(new CallFailedError(failure));
      },
    });
    if (signal?.aborted) onAbort();
  });
}
