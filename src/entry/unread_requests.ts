/**
 * Requests whose bodies are being read, for at most as long as their callers wait.
 *
 * @module
 */
import type { CallerConnection } from "./caller_connection.ts";

/** Milliseconds in which a body must arrive if its caller names no deadline. */
const MAX_BODY_MS = 600_000;

interface UnreadRequest {
  readonly connection: CallerConnection;
  /** When the head was read, not counting the time for which the process stalled. */
  startedAt: number;
}

/** Requests whose bodies are being read. */
export class UnreadRequests {
  readonly #requests = new Map<number, UnreadRequest>();

  /** Adds a request whose head was read. */
  add(id: number, connection: CallerConnection, startedAt: number): void {
    this.#requests.set(id, { connection, startedAt });
  }

  /** Removes a request that was read, or that ended before. */
  delete(id: number): void {
    this.#requests.delete(id);
  }

  /**
   * Refuses requests whose callers do not wait any longer. Bytes that arrived while the
   * process stalled have not been read yet, so that this time does not count.
   */
  refuseLate(now: number, stalledMs: number): void {
    for (const request of this.#requests.values()) {
      request.startedAt += stalledMs;
      const limitMs = request.connection.deadlineMs ?? MAX_BODY_MS;
      if (now - request.startedAt <= limitMs) continue;
      request.connection.stopReading("BODY_TOO_LATE");
    }
  }
}
