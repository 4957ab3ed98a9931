/**
 * Writes numbered events to the log, one JSON object per line on standard output.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import bunyan from "bunyan";
import { TokenBucket } from "../policy/token_bucket.ts";
import { type EventName, getEvent } from "./catalogue.ts";
import { LogStream } from "./log_stream.ts";

/** Values that are logged with an event. */
export type EventDetails = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Options of an {@link EventLog}. */
export interface EventLogOptions {
  readonly role: string;
  readonly processName: string;
}

const STANDARD_OUTPUT = 1;
/**
 * Limits how many lines a process writes. A line costs about 20 µs of processor time,
 * so that logging takes at most 0.6% of a core during a flood of requests.
 */
const LINE_RATE = { perSecond: 300, burst: 600 } as const;

/** Writes numbered events to the log. */
export class EventLog {
  readonly #logger: bunyan;
  readonly #stream = new LogStream(STANDARD_OUTPUT);
  readonly #lineBudget = new TokenBucket(LINE_RATE, performance.now());
  readonly #counts = new Map<EventName, number>();
  #omittedLines = 0;

  /** Creates a log that writes to standard output. */
  constructor(options: EventLogOptions) {
    this.#logger = bunyan.createLogger({
      name: "lagoonwharf",
      streams: [{ stream: this.#stream as unknown as NodeJS.WritableStream }],
      role: options.role,
      process: options.processName,
    });
  }

  /** How often each event occurred, including those whose lines were omitted. */
  get counts(): ReadonlyMap<EventName, number> {
    return this.#counts;
  }

  /**
   * Writes one event. Errors are always written. Other events are omitted above the
   * rate limit; the number of omitted lines is written before the next line.
   *
   * @example
   * ```ts
   * log.write("TARGET_CONNECTED", { target: "confirm-1" });
   * ```
   */
  write(name: EventName, details: EventDetails = {}): void {
    const event = getEvent(name);
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    const isOmitted = !this.#lineBudget.tryTake(performance.now()) &&
      event.level !== "error";
    if (isOmitted) {
      this.#omittedLines++;
      return;
    }
    this.#writeOmittedLines();
    this.#writeLine(name, details);
  }

  /** Writes all pending lines synchronously; used when the process ends. */
  flush(): void {
    this.#writeOmittedLines();
    this.#stream.flush();
  }

  #writeOmittedLines(): void {
    const lines = this.#omittedLines + this.#stream.takeDroppedLines();
    if (lines === 0) return;
    this.#omittedLines = 0;
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
