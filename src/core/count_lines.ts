/**
 * Counts the lines of a piece of a connection's bytes.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

const LINE_FEED = 10;

/**
 * Returns how many lines end in some bytes.
 *
 * @example
 * ```ts
 * countLines(Buffer.from("a: b\r\nc: d\r\n")); // 2
 * ```
 */
export function countLines(bytes: Buffer): number {
  let lines = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    lines++;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return lines;
}
