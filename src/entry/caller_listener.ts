/**
 * The listener for callers, with its limits.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import type { EventLog } from "../events/event_log.ts";
import { HttpListener } from "../process/http_listener.ts";

/**
 * Share of the descriptors that connections of callers may take. The others are for files
 * and for connections to targets, the store and other entries.
 */
const CALLER_DESCRIPTOR_SHARE = 0.6;

/** Options of {@link createCallerListener}. */
export interface CallerListenerOptions {
  readonly log: EventLog;
  /** Open files and sockets that the process may have; undefined: not limited. */
  readonly descriptorLimit?: number;
}

/**
 * Creates the listener, without listening yet.
 *
 * @example
 * ```ts
 * const listener = createCallerListener(handle, { log, descriptorLimit: 4100 });
 * ```
 */
export function createCallerListener(
  handle: RequestListener,
  { log, descriptorLimit = Number.POSITIVE_INFINITY }: CallerListenerOptions,
): HttpListener {
  return new HttpListener(handle, {
    limits: { maxConnections: descriptorLimit * CALLER_DESCRIPTOR_SHARE },
    onClose: (reason) =>
      log.write("CONNECTION_CLOSED", { listener: "callers", reason }),
  });
}
