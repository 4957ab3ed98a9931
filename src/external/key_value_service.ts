/**
 * Interface of the platform's key-value service.
 *
 * @module
 */

/** A value and the revision at which it was written. */
export interface KeyValueEntry {
  readonly value: string;
  /** Increases with each write of the key; 0 means that the key does not exist. */
  readonly revision: number;
}

/** The write took effect. */
export interface Swapped {
  readonly kind: "swapped";
  readonly revision: number;
}

/** The key was at another revision; nothing was written. */
export interface SwapConflict {
  readonly kind: "conflict";
  readonly revision: number;
}

/** The reply was lost; the write may or may not have taken effect. */
export interface SwapUnknown {
  readonly kind: "unknown";
  readonly cause: string;
}

/** Outcome of a compare-and-swap. */
export type SwapOutcome = Swapped | SwapConflict | SwapUnknown;

/** Options of a compare-and-swap. */
export interface SwapOptions {
  readonly value: string;
  /** Revision that the key must have; 0 if it must not exist. */
  readonly expectedRevision: number;
}

/** Options of a watch. */
export interface WatchOptions {
  /** The watch returns once the key's revision differs from this one. */
  readonly knownRevision: number;
  readonly signal: AbortSignal;
}

/** Thrown when the service does not answer a read or a watch. */
export class KeyValueUnavailableError extends Error {
  override readonly name = "KeyValueUnavailableError";
}

/** The platform's key-value service. */
export abstract class KeyValueService {
  /**
   * Reads a key; undefined if it does not exist.
   *
   * @throws {KeyValueUnavailableError} when the service does not answer
   */
  abstract tryRead(key: string): Promise<KeyValueEntry | undefined>;

  /** Writes a key if it is at the expected revision. Never throws. */
  abstract compareAndSwap(
    key: string,
    options: SwapOptions,
  ): Promise<SwapOutcome>;

  /**
   * Waits until the key changes, or until the service ends the watch; returns the
   * current value.
   *
   * @throws {KeyValueUnavailableError} when the service does not answer
   */
  abstract watch(
    key: string,
    options: WatchOptions,
  ): Promise<KeyValueEntry | undefined>;
}
