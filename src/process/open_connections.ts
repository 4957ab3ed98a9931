/**
 * The open connections of a listener: bounds their number and what they occupy together,
 * and closes those whose clients do not behave.
 *
 * @module
 */
import type { Socket } from "node:net";
import {
  type ConnectionLimits,
  MAX_SHARED_REQUESTS,
  MAX_WORK_PER_TURN,
} from "./connection_limits.ts";
import {
  type CloseReason,
  ConnectionReader,
  type ReaderOwner,
} from "./connection_reader.ts";

/**
 * Milliseconds of which a pause between two checks counts at most. What arrived while the
 * process was frozen has not been read yet.
 */
const MAX_STEP_MS = 1000;
/** Milliseconds by which a head may be late, as checks are not made all the time. */
const HEAD_MARGIN_MS = 500;

/** Bytes that a head may have beyond its limit, which may mean its headers alone. */
const MAX_REQUEST_LINE_BYTES = 2048;

/** Called when the listener closes a connection. */
export type CloseListener = (reason: CloseReason) => void;

/** When a connection entered its current state, by {@link OpenConnections}' clock. */
interface ConnectionTimes {
  /** Since when nothing has been served on it; undefined while a request is. */
  quietSince: number | undefined;
  /** Since when it has unfinished bytes. */
  unfinishedSince: number | undefined;
  /** Since when it has sent a head that is not complete. */
  headSince: number | undefined;
  /** When the latest request was parsed. */
  requestAt: number;
  unfinishedBytes: number;
}

/** The open connections of a listener. */
export class OpenConnections implements ReaderOwner {
  #limits: ConnectionLimits;
  readonly #onClose: CloseListener;
  readonly #connections = new Map<ConnectionReader, ConnectionTimes>();
  /** Connections on which nothing is served, the one that is quiet the longest first. */
  readonly #quiet = new Set<ConnectionReader>();
  /** Connections with unfinished bytes. */
  readonly #unfinished = new Set<ConnectionReader>();
  #unfinishedBytes = 0;
  #openRequests = 0;
  /** Connections that have to wait for a later turn, the longest first. */
  readonly #waiting = new Set<ConnectionReader>();
  /** Work since the last turn that was started. */
  #work = 0;
  #isTurnPlanned = false;
  /** Milliseconds for which the process has run, by the checks. */
  #now = 0;
  #checkedAt: number | undefined;

  /** Creates an empty table. */
  constructor(limits: ConnectionLimits, onClose: CloseListener) {
    this.#limits = limits;
    this.#onClose = onClose;
  }

  get hasSharedPlaces(): boolean {
    return this.#openRequests < MAX_SHARED_REQUESTS;
  }

  get hasWorkLeft(): boolean {
    return this.#work < MAX_WORK_PER_TURN;
  }

  get maxHeadBytes(): number {
    return this.#limits.maxHeadBytes + MAX_REQUEST_LINE_BYTES;
  }

  /** Number of connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Bytes of heads that are not complete, and of requests sent ahead. */
  get unfinishedBytes(): number {
    return this.#unfinishedBytes;
  }

  /** Changes some limits; they apply to connections that are open, too. */
  setLimits(changes: Partial<ConnectionLimits>): void {
    this.#limits = { ...this.#limits, ...changes };
  }

  /** Adds a connection of the HTTP server, and makes room for it. */
  add(socket: Socket): void {
    if (this.#connections.size >= this.#limits.maxConnections) {
      const victim = this.#findLeastUseful();
      this.#onClose("too_many_connections");
      if (victim === undefined) return void socket.destroy();
      this.#remove(victim);
      victim.socket.destroy();
    }
    const reader = new ConnectionReader(socket, this);
    this.#connections.set(reader, {
      quietSince: this.#now,
      unfinishedSince: undefined,
      headSince: undefined,
      requestAt: this.#now,
      unfinishedBytes: 0,
    });
    this.#quiet.add(reader);
    socket.once("close", () => {
      reader.onClosed();
      this.#remove(reader);
    });
  }

  /** Closes connections that have been idle or have sent a head for too long. */
  check(now: number): void {
    const elapsed = now - (this.#checkedAt ?? now);
    this.#checkedAt = now;
    this.#now += Math.min(elapsed, MAX_STEP_MS);
    this.#closeSlowHeads();
    this.#closeIdle();
  }

  countWork(units: number): void {
    this.#work += units;
    if (this.#work < MAX_WORK_PER_TURN || this.#isTurnPlanned) return;
    this.#isTurnPlanned = true;
    setImmediate(() => this.#startTurn());
  }

  wait(reader: ConnectionReader): void {
    this.#waiting.add(reader);
  }

  onOpenRequests(reader: ConnectionReader, change: 1 | -1): void {
    this.#openRequests += change;
    const times = this.#connections.get(reader);
    if (times === undefined) return;
    if (change === 1) {
      times.requestAt = this.#now;
      // The bytes that follow belong to another head.
      times.headSince = undefined;
      times.unfinishedSince = undefined;
    }
    this.#setQuiet(reader, times, reader.openRequests === 0);
  }

  onBytes(reader: ConnectionReader): void {
    const times = this.#connections.get(reader);
    if (times === undefined) return;
    if (reader.phase === "upgraded") return this.#remove(reader);
    times.headSince = reader.phase === "head"
      ? times.headSince ?? this.#now
      : undefined;
    this.#setUnfinished(reader, times, reader.unfinishedBytes);
    while (this.#unfinishedBytes > this.#limits.maxUnfinishedBytes) {
      const victim = this.#findLargest();
      if (victim === undefined) break;
      this.#close(victim, "unfinished_bytes");
    }
  }

  onExcess(reader: ConnectionReader, kind: "head" | "ahead"): void {
    this.#close(reader, kind === "head" ? "head_too_large" : "read_ahead");
  }

  /** Continues with the connections that have waited the longest. */
  #startTurn(): void {
    this.#isTurnPlanned = false;
    this.#work = 0;
    for (const reader of [...this.#waiting]) {
      if (!this.hasWorkLeft) return;
      this.#waiting.delete(reader);
      reader.continue();
    }
  }

  #closeSlowHeads(): void {
    const limitMs = this.#limits.headTimeoutMs + HEAD_MARGIN_MS;
    for (const reader of this.#unfinished) {
      const since = this.#connections.get(reader)?.headSince;
      if (since === undefined || this.#now - since <= limitMs) continue;
      this.#close(reader, "head_too_slow");
    }
  }

  #closeIdle(): void {
    const { idleLimitMs } = this.#limits;
    if (idleLimitMs === undefined) return;
    for (const reader of this.#quiet) {
      const since = this.#connections.get(reader)?.quietSince ?? this.#now;
      if (this.#now - since <= idleLimitMs) return;
      if (reader.phase === "none") this.#close(reader, "idle");
    }
  }

  /**
   * Finds the connection on which nothing has been served for the longest. If requests
   * are served on all, finds the one that has waited the longest for the rest of a body,
   * or for its client to read.
   */
  #findLeastUseful(): ConnectionReader | undefined {
    const [quiet] = this.#quiet;
    if (quiet !== undefined) return quiet;
    let found: ConnectionReader | undefined;
    let foundAt = Number.POSITIVE_INFINITY;
    for (const [reader, { requestAt }] of this.#connections) {
      const waitsForClient = reader.phase === "body" || reader.isUnread;
      if (!waitsForClient || requestAt >= foundAt) continue;
      found = reader;
      foundAt = requestAt;
    }
    return found;
  }

  /** Finds the connection that has held most unfinished bytes for the longest. */
  #findLargest(): ConnectionReader | undefined {
    let found: ConnectionReader | undefined;
    let foundScore = -1;
    for (const reader of this.#unfinished) {
      const times = this.#connections.get(reader);
      if (times === undefined) continue;
      const heldMs = 1 + this.#now - (times.unfinishedSince ?? this.#now);
      const score = times.unfinishedBytes * heldMs;
      if (score <= foundScore) continue;
      found = reader;
      foundScore = score;
    }
    return found;
  }

  #setQuiet(
    reader: ConnectionReader,
    times: ConnectionTimes,
    isQuiet: boolean,
  ): void {
    if (isQuiet === (times.quietSince !== undefined)) return;
    times.quietSince = isQuiet ? this.#now : undefined;
    if (isQuiet) this.#quiet.add(reader);
    else this.#quiet.delete(reader);
  }

  #setUnfinished(
    reader: ConnectionReader,
    times: ConnectionTimes,
    bytes: number,
  ): void {
    this.#unfinishedBytes += bytes - times.unfinishedBytes;
    times.unfinishedBytes = bytes;
    if (bytes === 0) {
      times.unfinishedSince = undefined;
      this.#unfinished.delete(reader);
      return;
    }
    times.unfinishedSince ??= this.#now;
    this.#unfinished.add(reader);
  }

  #close(reader: ConnectionReader, reason: CloseReason): void {
    // Most connections of proper clients end so.
    if (reason !== "idle") this.#onClose(reason);
    this.#remove(reader);
    reader.refuse(reason);
  }

  #remove(reader: ConnectionReader): void {
    const times = this.#connections.get(reader);
    if (times === undefined) return;
    this.#setUnfinished(reader, times, 0);
    this.#quiet.delete(reader);
    this.#waiting.delete(reader);
    this.#connections.delete(reader);
  }
}
