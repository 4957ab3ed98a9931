/**
 * Tracks the bytes held of request bodies, and finds bodies to give up: those that hold
 * most for the longest and do not get on, never the one that came last.
 *
 * @module
 */

/** Milliseconds in which a body that gets on receives {@link PROGRESS_BYTES}. */
const STALL_TIMEOUT_MS = 1000;
/** Bytes that count as progress; fewer may be sent only to look alive. */
const PROGRESS_BYTES = 4096;

interface HeldBody {
  readonly startedAt: number;
  bytes: number;
  /** When it last had received {@link PROGRESS_BYTES} more. */
  progressAt: number;
  progressBytes: number;
  /** Whether nothing is missing, so that it can be served. */
  isComplete: boolean;
}

/** A body that needs room. */
export interface NeedyBody {
  readonly caller: number;
  /** Bytes that it holds or is going to hold, as far as they are known. */
  readonly bytes: number;
}

/** The bytes held of request bodies. */
export class HeldBodies {
  readonly #bodies = new Map<number, HeldBody>();
  #bytes = 0;

  /** Bytes held of all bodies. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Returns the bytes held of one body. */
  getBytes(caller: number): number {
    return this.#bodies.get(caller)?.bytes ?? 0;
  }

  /** Adds bytes of a body, which may still grow. */
  add(caller: number, bytes: number, now: number): void {
    this.#bytes += bytes;
    const body = this.#bodies.get(caller);
    if (body === undefined) {
      this.#bodies.set(caller, {
        startedAt: now,
        bytes,
        progressAt: now,
        progressBytes: bytes,
        isComplete: false,
      });
      return;
    }
    body.bytes += bytes;
    this.recordProgress(caller, body.bytes, now);
  }

  /** Records how many bytes of a body have arrived. */
  recordProgress(caller: number, bytes: number, now: number): void {
    const body = this.#bodies.get(caller);
    if (body === undefined) return;
    if (bytes - body.progressBytes < PROGRESS_BYTES) return;
    body.progressBytes = bytes;
    body.progressAt = now;
  }

  /** Whether nothing of a body is missing. */
  isComplete(caller: number): boolean {
    return this.#bodies.get(caller)?.isComplete ?? false;
  }

  /** Keeps a body from being given up, as nothing of it is missing. */
  complete(caller: number): void {
    const body = this.#bodies.get(caller);
    if (body !== undefined) body.isComplete = true;
  }

  /** Releases the bytes of a body. */
  release(caller: number): void {
    this.#bytes -= this.getBytes(caller);
    this.#bodies.delete(caller);
  }

  /**
   * Finds the incomplete body that has held most for the longest, among those that have
   * stalled, and those that have taken long and hold more than the one that needs room.
   */
  tryFindVictim(needy: NeedyBody, now: number): number | undefined {
    let victim: number | undefined;
    let victimScore = -1;
    for (const [caller, body] of this.#bodies) {
      if (caller === needy.caller || body.isComplete) continue;
      const isStalled = now - body.progressAt >= STALL_TIMEOUT_MS;
      const isLarger = body.bytes > needy.bytes &&
        now - body.startedAt >= STALL_TIMEOUT_MS;
      const score = body.bytes * (now - body.startedAt);
      if (!(isStalled || isLarger) || score <= victimScore) continue;
      victim = caller;
      victimScore = score;
    }
    return victim;
  }
}
