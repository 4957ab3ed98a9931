/**
 * Whether an outside system answers, and since when.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";

/** Follows whether one outside system answers; logs when that changes. */
export class Reachability {
  readonly #service: string;
  readonly #log: EventLog;
  #isReached: boolean | undefined;
  #changedAt = 0;

  /** `service` names the outside system in the log. */
  constructor(service: string, log: EventLog) {
    this.#service = service;
    this.#log = log;
  }

  /** Whether the last call was answered; false before the first. */
  get isReached(): boolean {
    return this.#isReached === true;
  }

  /** When that last changed, in milliseconds of the monotonic clock. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** A call was answered. */
  noteAnswer(now: number): void {
    this.#set(true, now, undefined);
  }

  /** A call was not answered. */
  noteFailure(now: number, cause: unknown): void {
    this.#set(false, now, String(cause));
  }

  #set(isReached: boolean, now: number, cause: string | undefined): void {
    if (this.#isReached === isReached) return;
    this.#isReached = isReached;
    const forMs = this.#changedAt === 0
      ? undefined
      : Math.round(now - this.#changedAt);
    this.#changedAt = now;
    const name = isReached ? "PLATFORM_REACHED" : "PLATFORM_UNREACHABLE";
    this.#log.write(name, { service: this.#service, cause, forMs });
  }
}
