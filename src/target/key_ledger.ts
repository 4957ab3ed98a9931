/**
 * Remembers idempotency keys and their answers, in memory.
 *
 * @module
 */
import type { Header } from "../messages/types.ts";

/** An answer that can be given again. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Waits or runs; `began` says whether the back end may have seen it. */
export interface RunningKey {
  readonly kind: "running";
}

/** Ran and was answered. */
export interface AnsweredKey {
  readonly kind: "answered";
  /** Undefined when the answer was too large to keep. */
  readonly answer?: KeptAnswer;
}

/** Was begun and nobody knows how it ended. */
export interface UnsettledKey {
  readonly kind: "unsettled";
}

/** What is known of a key. */
export type KeyState = RunningKey | AnsweredKey | UnsettledKey;

/** One remembered key. */
export interface LedgerEntry {
  readonly fingerprint: string;
  readonly requestHash: string;
  readonly expiresAt: number;
  readonly state: KeyState;
}

/** Bounds of a ledger. */
export interface LedgerLimits {
  readonly ledgerLength: number;
  readonly keptBytes: number;
}

/** Remembers keys until they expire; never forgets one sooner. */
export class KeyLedger {
  readonly #limits: LedgerLimits;
  readonly #entries = new Map<string, LedgerEntry>();
  #keptBytes = 0;

  /** Starts empty. */
  constructor(limits: LedgerLimits) {
    this.#limits = limits;
  }

  /** Keys that are remembered. */
  get length(): number {
    return this.#entries.size;
  }

  /** What is known of a key; undefined when it is new or has expired. */
  tryGet(fingerprint: string, now: number): LedgerEntry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || !isExpired(entry, now)) return entry;
    this.#remove(entry);
    return undefined;
  }

  /**
   * Remembers a new key; false when there is no room, in which case the key
   * must not run.
   *
   * @example
   * ```ts
   * if (!ledger.tryAdd(entry, now)) refuse("KEY_LEDGER_FULL");
   * ```
   */
  tryAdd(entry: LedgerEntry, now: number): boolean {
    if (this.#entries.size >= this.#limits.ledgerLength) {
      this.#removeExpired(now);
    }
    if (this.#entries.size >= this.#limits.ledgerLength) return false;
    this.#entries.set(entry.fingerprint, entry);
    return true;
  }

  /** The key did not run: forgets it. */
  discard(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) this.#remove(entry);
  }

  /** The key ran; its answer is kept if there is room. */
  setAnswered(fingerprint: string, answer: KeptAnswer | undefined): void {
    const byteCount = answer?.body.length ?? 0;
    const isKept = this.#keptBytes + byteCount <= this.#limits.keptBytes;
    if (isKept) this.#keptBytes += byteCount;
    this.#setState(fingerprint, {
      kind: "answered",
      answer: isKept ? answer : undefined,
    });
  }

  /** The key was begun and its end is not known. */
  setUnsettled(fingerprint: string): void {
    this.#setState(fingerprint, { kind: "unsettled" });
  }

  /** Every key for which `isWanted` holds. */
  filterEntries(
    predicate: (fingerprint: string) => boolean,
  ): readonly LedgerEntry[] {
    return [...this.#entries.values()].filter((entry) =>
      predicate(entry.fingerprint)
    );
  }

  /**
   * Takes over a key from its old owner; false when there is no room, in which
   * case its slot's history is not known here.
   */
  tryAddHandedOver(entry: LedgerEntry, now: number): boolean {
    const { fingerprint, state } = entry;
    if (this.#entries.has(fingerprint)) return true;
    if (!this.tryAdd({ ...entry, state: { kind: "unsettled" } }, now)) {
      return false;
    }
    if (state.kind === "answered") this.setAnswered(fingerprint, state.answer);
    return true;
  }

  #setState(fingerprint: string, state: KeyState): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) {
      this.#entries.set(fingerprint, { ...entry, state });
    }
  }

  #removeExpired(now: number): void {
    for (const entry of this.#entries.values()) {
      if (isExpired(entry, now)) this.#remove(entry);
    }
  }

  #remove(entry: LedgerEntry): void {
    this.#entries.delete(entry.fingerprint);
    if (entry.state.kind !== "answered") return;
    this.#keptBytes -= entry.state.answer?.body.length ?? 0;
  }
}

/** A running key does not expire, however long it runs. */
function isExpired(entry: LedgerEntry, now: number): boolean {
  return entry.state.kind !== "running" && now >= entry.expiresAt;
}
