/**
 * Writes numbered events to the log, one JSON object a line on standard output.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import bunyan from "bunyan";
import { TokenBucket } from "../policy/token_bucket.ts";
import { type EventName, getEvent } from "./catalogue.ts";
import { LogStream } from "./log_stream.ts";

/** Values that go with an event. */
export type EventDetails = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Who logs. */
export interface EventLogOptions {
  readonly role: string;
  readonly processName: string;
}

const STANDARD_OUTPUT = 1;
/**
 * Lines a second that one process writes, and lines that may come at once. A
 * line costs about 20 µs of processor time, so a flood of requests spends at
 * most 0.6% of a core on telling of itself.
 */
const LINES = { perSecond: 300, burst: 600 } as const;

/** Writes numbered events to the log. */
export class EventLog {
  readonly #logger: bunyan;
  readonly #stream = new LogStream(STANDARD_OUTPUT);
  readonly #lines = new TokenBucket(LINES, performance.now());
  readonly #counts = new Map<EventName, number>();
  #leftOut = 0;

  /** Logs to standard output. */
  constructor(options: EventLogOptions) {
    this.#logger = bunyan.createLogger({
      name: "lagoonwharf",
      streams: [{ stream: this.#stream as unknown as NodeJS.WritableStream }],
      role: options.role,
      process: options.processName,
    });
  }

  /** How often each event was to be written, those that were left out too. */
  get counts(): ReadonlyMap<EventName, number> {
    return this.#counts;
  }

  /**
   * Writes one event. Errors are always written; of the others so many a
   * second, and how many were left out is written in their place.
   *
   * @example
   * ```ts
   * log.write("TARGET_CONNECTED", { target: "confirm-1" });
   * ```
   */
  write(name: EventName, details: EventDetails = {}): void {
    const event = getEvent(name);
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    const isLeftOut = !this.#lines.tryTake(performance.now()) &&
      event.level !== "error";
    if (isLeftOut) {
      this.#leftOut++;
      return;
    }
    this.#writeLeftOut();
    this.#writeLine(name, details);
  }

  /** Writes what still waits; for the end of the process. */
  flush(): void {
    this.#writeLeftOut();
    this.#stream.flush();
  }

  #writeLeftOut(): void {
    const lines = this.#leftOut + this.#stream.takeDropped();
    if (lines === 0) return;
    this.#leftOut = 0;
    this.#writeLine("LINES_LEFT_OUT", { lines });
  }

  #writeLine(name: EventName, details: EventDetails): void {
    const event = getEvent(name);
    this.#logger[event.level](
      { event: event.code, eventName: name, ...details },
      event.text,
    );
  }
}
