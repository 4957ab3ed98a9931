/**
 * Forwards requests unchanged to the old scripts.
 *
 * @module
 */
import {
  type BackEndCall,
  type BackEndFailure,
  isNotRun,
} from "../external/back_end.ts";
import { HttpBackEnd } from "../external/http_back_end.ts";
import { getForwardedHeaders } from "../messages/http_headers.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import { createProblem } from "../refusals/problem.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { CallerRequest, ForwardToScripts } from "./types.ts";

/** Connections to one address. The scripts limit what they run at the same time. */
const MAX_CONNECTIONS = 1024;
/** Milliseconds of the longest timer; pauses are limited by a timer of their own. */
const LONGEST_CALL_MS = 2 ** 31 - 1;

/** Calls the old scripts. */
export class ScriptsForwarder {
  /** Back ends by address. */
  readonly #backEnds = new Map<SocketAddress, HttpBackEnd>();

  /**
   * Calls the scripts once, without retries, and relays their answer. Resolves when the
   * answer has ended.
   *
   * @example
   * ```ts
   * await forwarder.forward(effect, connection);
   * ```
   */
  forward(
    { request, address, deadlineMs }: ForwardToScripts,
    connection: CallerConnection,
  ): Promise<void> {
    return new Promise((resolve) => {
      // The call may fail before `start` returns.
      let call: BackEndCall | undefined = undefined;
      const cancel = () => call?.cancel();
      const pauseLimit = setTimeout(cancel, deadlineMs);
      const end = (finish: () => void) => {
        clearTimeout(pauseLimit);
        finish();
        resolve();
      };
      connection.onClosed(cancel);
      call = this.#getBackEnd(address).start({
        method: request.method,
        path: request.path,
        headers: getForwardedHeaders(request.headers),
        body: request.body,
        limitMs: LONGEST_CALL_MS,
      }, {
        onHead: (status, headers) => {
          pauseLimit.refresh();
          connection.start(status, headers);
        },
        onData: (bytes) => {
          pauseLimit.refresh();
          if (!connection.write(bytes)) cancel();
        },
        onEnd: () => end(() => connection.finish()),
        onFailed: (failure) =>
          end(() => refuse(request, { connection, failure })),
      });
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const backEnds = [...this.#backEnds.values()];
    await Promise.all(backEnds.map((backEnd) => backEnd.close()));
  }

  #getBackEnd(address: SocketAddress): HttpBackEnd {
    let backEnd = this.#backEnds.get(address);
    if (backEnd === undefined) {
      backEnd = new HttpBackEnd({ address, maxConnections: MAX_CONNECTIONS });
      this.#backEnds.set(address, backEnd);
    }
    return backEnd;
  }
}

function refuse(
  request: CallerRequest,
  { connection, failure }: {
    readonly connection: CallerConnection;
    readonly failure: BackEndFailure;
  },
): void {
  const submission = isNotRun(failure) ? "not-run" : "unknown";
  const isKeyed = request.idempotencyKey !== undefined;
  connection.refuse(createProblem("SCRIPTS_UNREACHABLE", {
    outcome: isKeyed ? "unknown" : submission,
    submission,
  }));
}
