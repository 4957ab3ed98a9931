/**
 * Writes log lines to a file descriptor without blocking on its reader.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";

/** Bytes that may be pending; further lines are dropped. */
const MAX_PENDING_BYTES = 262_144;

/** Milliseconds for which lines are collected into one write. */
const FLUSH_INTERVAL_MS = 100;

/** Writes log lines without blocking on their reader. */
export class LogStream {
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #droppedLines = 0;

  /** Creates a stream to an open file descriptor, such as 1 for standard output. */
  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /** Returns and resets the number of dropped lines. */
  takeDroppedLines(): number {
    const dropped = this.#droppedLines;
    this.#droppedLines = 0;
    return dropped;
  }

  /** Queues a line, or drops it if too many bytes are pending. */
  write(line: string): void {
    if (this.#pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.#droppedLines++;
      return;
    }
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    if (this.#isWriting) return;
    this.#isWriting = true;
    setTimeout(() => this.#writePending(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes all pending lines synchronously; used only when the process ends. */
  flush(): void {
    const text = this.#pending.join("");
    this.#pending = [];
    this.#pendingBytes = 0;
    try {
      writeSync(this.#descriptor, text);
    } catch {
      // The reader is gone or does not read; the process ends without waiting for it.
    }
  }

  #writePending(): void {
    const bytes = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeFrom(bytes, 0);
  }

  #writeFrom(bytes: Buffer, start: number): void {
    write(this.#descriptor, bytes, start, (error, written) => {
      // On an error, such as a closed pipe, the remaining bytes are discarded.
      const end = error === null ? start + written : bytes.length;
      if (end < bytes.length) return this.#writeFrom(bytes, end);
      if (this.#pending.length > 0) return this.#writePending();
      this.#isWriting = false;
    });
  }
}
