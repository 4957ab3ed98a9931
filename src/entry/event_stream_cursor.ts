/**
 * Tracks the position in an event stream (WHATWG HTML, section 9.2), so that another
 * target can continue it after the last complete event without a gap or a repeat.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Result of a chunk of the stream. */
export interface StreamProgress {
  /** Complete events, byte for byte; empty if none is complete yet. */
  readonly events: Uint8Array;
  /**
   * Whether the stream cannot be passed on any further: the numeric ids of two events are
   * not consecutive (a gap or a repeat), or an event is too long.
   */
  readonly isBroken: boolean;
}

/** Content type of event streams. */
export const EVENT_STREAM_TYPE = "text/event-stream";

/**
 * Maximum length of one event in bytes. The bytes of an event are held until it is
 * complete, and a server in trouble may send one without end.
 */
const MAX_EVENT_BYTES = 1_048_576;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A line that is neither blank nor a comment. */
const FIELD = /^[^:\r\n]/m;
const ID_FIELD = /^id:[ ]?(.*)$/m;
const NUMBER = /^\d{1,15}$/;
const EMPTY_BUFFER = Buffer.alloc(0);

/** The caller's position in an event stream, over all attempts. */
export class EventStreamCursor {
  #pending: Buffer = EMPTY_BUFFER;
  #lastEventId: string | undefined;

  /** Creates a cursor after the event `lastEventId`, which the caller already has. */
  constructor(lastEventId?: string) {
    this.#lastEventId = lastEventId;
  }

  /** Identifier of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the bytes after the last complete event begin another one. */
  get isInsideEvent(): boolean {
    return FIELD.test(this.#pending.toString("latin1"));
  }

  /**
   * Removes and returns the bytes after the last blank line of a complete answer. They
   * belong to the answer although event stream parsers ignore them.
   */
  takeRemainder(): Uint8Array {
    const remainder = this.#pending;
    this.#pending = EMPTY_BUFFER;
    return remainder;
  }

  /** Starts another attempt; drops the incomplete event of the previous one. */
  startAttempt(): void {
    this.#pending = EMPTY_BUFFER;
  }

  /**
   * Adds the next bytes of the attempt and returns the events that they complete.
   *
   * @example
   * ```ts
   * const { events, isBroken } = cursor.push(bytes);
   * connection.write(events);
   * if (isBroken) connection.abort();
   * ```
   */
  push(bytes: Uint8Array): StreamProgress {
    const buffer = this.#pending.length === 0
      ? Buffer.from(bytes)
      : Buffer.concat([this.#pending, bytes]);
    let acceptedEnd = 0;
    for (
      let end = findEventEnd(buffer, 0);
      end > 0;
      end = findEventEnd(buffer, end)
    ) {
      if (!this.#tryAcceptEvent(buffer.toString("latin1", acceptedEnd, end))) {
        return { events: buffer.subarray(0, acceptedEnd), isBroken: true };
      }
      acceptedEnd = end;
    }
    const pending = buffer.subarray(acceptedEnd);
    const isTooLong = pending.length > MAX_EVENT_BYTES;
    this.#pending = isTooLong ? EMPTY_BUFFER : pending;
    return { events: buffer.subarray(0, acceptedEnd), isBroken: isTooLong };
  }

  #tryAcceptEvent(text: string): boolean {
    const id = ID_FIELD.exec(text)?.[1]?.trimEnd();
    if (id === undefined) return true;
    const last = this.#lastEventId;
    const areNumbers = last !== undefined && NUMBER.test(last) &&
      NUMBER.test(id);
    if (areNumbers && Number(id) !== Number(last) + 1) return false;
    this.#lastEventId = id;
    return true;
  }
}

/** Returns the index after the blank line that ends the event at `start`, or 0. */
function findEventEnd(buffer: Buffer, start: number): number {
  let lineEnd = buffer.indexOf(LINE_FEED, start);
  while (lineEnd !== -1) {
    const next = buffer[lineEnd + 1];
    if (next === LINE_FEED) return lineEnd + 2;
    const isBlankLine = next === CARRIAGE_RETURN &&
      buffer[lineEnd + 2] === LINE_FEED;
    if (isBlankLine) return lineEnd + 3;
    lineEnd = buffer.indexOf(LINE_FEED, lineEnd + 1);
  }
  return 0;
}
