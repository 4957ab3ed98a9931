/**
 * Writes numbered events to the log, one JSON object a line.
 *
 * @module
 */
import process from "node:process";
import bunyan from "bunyan";
import { type EventName, getEvent } from "./catalogue.ts";

/** Values that go with an event. */
export type EventDetails = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Who logs. */
export interface EventLogOptions {
  readonly role: string;
  readonly processName: string;
}

/** Writes numbered events to the log. */
export class EventLog {
  readonly #logger: bunyan;

  /** Logs to standard error. */
  constructor(options: EventLogOptions) {
    this.#logger = bunyan.createLogger({
      name: "lagoonwharf",
      streams: [{ stream: process.stderr }],
      role: options.role,
      process: options.processName,
    });
  }

  /**
   * Writes one event.
   *
   * @example
   * ```ts
   * log.write("TARGET_CONNECTED", { target: "confirm-1" });
   * ```
   */
  write(name: EventName, details: EventDetails = {}): void {
    const event = getEvent(name);
    this.#logger[event.level](
      { event: event.code, eventName: name, ...details },
      event.text,
    );
  }
}
