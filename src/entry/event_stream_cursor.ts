/**
 * Follows an event stream (WHATWG HTML, section 9.2) so that it can go on at
 * another target after the last whole event, without a gap or a repeat.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** What a piece of the stream brought. */
export interface StreamProgress {
  /** Whole events, as they arrived; empty when none is whole yet. */
  readonly events: Uint8Array;
  /** Whether an event does not follow the one before it. */
  readonly hasGap: boolean;
}

/** Content type of event streams. */
export const EVENT_STREAM_TYPE = "text/event-stream";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*)$/m;
const NUMBER = /^\d{1,15}$/;
const NOTHING = Buffer.alloc(0);

/** Where the caller stands in an event stream, over all attempts. */
export class EventStreamCursor {
  #pending: Buffer = NOTHING;
  #lastEventId: string | undefined;

  /** `lastEventId` is what the caller already has, if it said so. */
  constructor(lastEventId?: string) {
    this.#lastEventId = lastEventId;
  }

  /** Identifier of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /**
   * What is left when the run ended whole: bytes after the last blank line, which
   * belong to the answer although a reader ignores them.
   */
  takeRest(): Uint8Array {
    const rest = this.#pending;
    this.#pending = NOTHING;
    return rest;
  }

  /** Another run takes over: the part of an event that arrived is dropped. */
  startRun(): void {
    this.#pending = NOTHING;
  }

  /**
   * Takes in the next bytes of the run.
   *
   * @example
   * ```ts
   * const { events, hasGap } = cursor.push(bytes);
   * if (!hasGap) connection.write(events);
   * ```
   */
  push(bytes: Uint8Array): StreamProgress {
    const buffer = this.#pending.length === 0
      ? Buffer.from(bytes)
      : Buffer.concat([this.#pending, bytes]);
    let taken = 0;
    for (
      let end = endOfEvent(buffer, 0);
      end > 0;
      end = endOfEvent(buffer, end)
    ) {
      if (!this.#takeEvent(buffer.toString("latin1", taken, end))) {
        return { events: buffer.subarray(0, taken), hasGap: true };
      }
      taken = end;
    }
    this.#pending = buffer.subarray(taken);
    return { events: buffer.subarray(0, taken), hasGap: false };
  }

  #takeEvent(text: string): boolean {
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

/** Index after the blank line that ends the event at `start`; 0 if none does. */
function endOfEvent(buffer: Buffer, start: number): number {
  let feed = buffer.indexOf(LINE_FEED, start);
  while (feed !== -1) {
    const next = buffer[feed + 1];
    if (next === LINE_FEED) return feed + 2;
    const isBlankLine = next === CARRIAGE_RETURN &&
      buffer[feed + 2] === LINE_FEED;
    if (isBlankLine) return feed + 3;
    feed = buffer.indexOf(LINE_FEED, feed + 1);
  }
  return 0;
}
