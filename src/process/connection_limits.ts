/**
 * Limits on what the clients of one listener may occupy together.
 *
 * @module
 */

/** Limits of a listener. */
export interface ConnectionLimits {
  /** Connections; one more closes the one that has been of no use for the longest. */
  readonly maxConnections: number;
  /** Bytes of memory for heads that are not complete, and for requests sent ahead. */
  readonly maxUnfinishedBytes: number;
  /** Milliseconds in which a head must arrive, from its first byte. */
  readonly headTimeoutMs: number;
  /** Bytes of a head. */
  readonly maxHeadBytes: number;
  /**
   * Milliseconds for which a connection is kept while nothing is sent; undefined: until
   * its place is needed.
   */
  readonly idleLimitMs: number | undefined;
}

/** Upper bound on the size of a head that a limit may allow, in bytes. */
export const MAX_HEAD_BYTES = 262_144;
/**
 * Requests of one connection that are served at the same time. More are read only once
 * one of them is answered.
 */
export const MAX_REQUESTS_AHEAD = 32;
/**
 * Requests of all connections beyond which a connection has only one served at a time.
 */
export const MAX_SHARED_REQUESTS = 512;
/** Bytes that a client may send ahead of the requests that are served. */
export const MAX_READ_AHEAD_BYTES = 65_536;

/**
 * Units of work that may be done for clients in one turn of the event loop, so that other
 * events do not wait for long, and what is closed is released: a piece of a body and a
 * line of a head take one, a request some more.
 */
export const MAX_WORK_PER_TURN = 10_000;
export const WORK_PER_REQUEST = 10;

/** Limits of a listener for callers and for pages, if nothing else is set. */
export const DEFAULT_LIMITS: ConnectionLimits = {
  maxConnections: 768,
  maxUnfinishedBytes: 4 * 1024 * 1024,
  headTimeoutMs: 60_000,
  maxHeadBytes: 16_384,
  idleLimitMs: undefined,
};
