/**
 * Listeners for pages of text, with their limits.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import { HttpListener } from "../process/http_listener.ts";
import { createTextPages, type TextPages } from "../process/text_pages.ts";

/** Connections by the name of the listener; a few collectors and load balancers read it. */
const MAX_CONNECTIONS = { ready: 64, metrics: 32 } as const;

/**
 * Creates a listener that serves pages, without listening yet.
 *
 * @example
 * ```ts
 * const listener = createPageListener("ready", pages, log);
 * ```
 */
export function createPageListener(
  name: keyof typeof MAX_CONNECTIONS,
  pages: TextPages,
  log: EventLog,
): HttpListener {
  return new HttpListener(createTextPages(pages), {
    limits: { maxConnections: MAX_CONNECTIONS[name] },
    onClose: (reason) =>
      log.write("CONNECTION_CLOSED", { listener: name, reason }),
  });
}
