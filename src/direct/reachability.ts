/**
 * Tracks whether an external service answers.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";

/** Tracks whether one external service answers, and logs changes. */
export class Reachability {
  readonly #service: string;
  readonly #log: EventLog;
  #isReached: boolean | undefined;
  #changedAt = 0;

  /** `service` is the name of the external service in the log. */
  constructor(service: string, log: EventLog) {
    this.#service = service;
    this.#log = log;
  }

  /** Whether the last call was answered; false before the first call. */
  get isReached(): boolean {
    return this.#isReached === true;
  }

  /** When {@link isReached} last changed, in milliseconds of the monotonic clock. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Records an answered call. */
  recordAnswer(now: number): void {
    this.#set(true, now, undefined);
  }

  /** Records a failed call. */
  recordFailure(now: number, cause: unknown): void {
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
