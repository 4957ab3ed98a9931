/**
 * Writes log lines to a file descriptor without ever waiting for its reader.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";

/** Bytes that may wait for the reader; more are dropped. */
const MAX_WAITING_BYTES = 262_144;

/** Milliseconds for which lines are gathered into one write. */
const GATHER_MS = 100;

/** Writes log lines without waiting for their reader. */
export class LogStream {
  readonly #descriptor: number;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;

  /** Writes to an open file descriptor, such as 1 for standard output. */
  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /** Takes the number of lines that were dropped since it was last taken. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Takes a line, or drops it when too many wait already. */
  write(line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.#dropped++;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    if (this.#isWriting) return;
    this.#isWriting = true;
    setTimeout(() => this.#writeWaiting(), GATHER_MS).unref();
  }

  /** Writes what waits at once; for the end of the process only. */
  flush(): void {
    const text = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingBytes = 0;
    try {
      writeSync(this.#descriptor, text);
    } catch {
      // The reader is gone or full, and a process that ends does not wait.
    }
  }

  #writeWaiting(): void {
    const bytes = Buffer.from(this.#waiting.join(""));
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#writeFrom(bytes, 0);
  }

  #writeFrom(bytes: Buffer, start: number): void {
    write(this.#descriptor, bytes, start, (error, written) => {
      // Without a reader there is nobody left to tell.
      const end = error === null ? start + written : bytes.length;
      if (end < bytes.length) return this.#writeFrom(bytes, end);
      if (this.#waiting.length > 0) return this.#writeWaiting();
      this.#isWriting = false;
    });
  }
}
