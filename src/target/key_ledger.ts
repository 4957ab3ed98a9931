/**
 * Records idempotency keys and their answers in memory.
 *
 * @module
 */
import type { Header } from "../messages/types.ts";

/** A retained answer that can be replayed. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** A request with the key is queued or running. */
export interface RunningKey {
  readonly kind: "running";
}

/** A request with the key has run and was answered. */
export interface AnsweredKey {
  readonly kind: "answered";
  /** Undefined if the answer was too large to retain. */
  readonly answer?: KeptAnswer;
}

/** A request with the key was started and its outcome is unknown. */
export interface UnsettledKey {
  readonly kind: "unsettled";
}

/** What is known about a key. */
export type KeyState = RunningKey | AnsweredKey | UnsettledKey;

/** A recorded key. */
export interface LedgerEntry {
  readonly fingerprint: string;
  readonly requestHash: string;
  readonly expiresAt: number;
  readonly state: KeyState;
}

/** Limits of a ledger. */
export interface LedgerLimits {
  /** Maximum number of keys. */
  readonly ledgerLength: number;
  /** Maximum bytes of all retained answers together. */
  readonly keptBytes: number;
}

/** Records keys and never removes one before it expires. */
export class KeyLedger {
  readonly #limits: LedgerLimits;
  readonly #entries = new Map<string, LedgerEntry>();
  #keptBytes = 0;

  /** Creates an empty ledger. */
  constructor(limits: LedgerLimits) {
    this.#limits = limits;
  }

  /** Number of recorded keys. */
  get length(): number {
    return this.#entries.size;
  }

  /** Returns the entry of a key, or undefined if the key is new or has expired. */
  tryGet(fingerprint: string, now: number): LedgerEntry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || !isExpired(entry, now)) return entry;
    this.#remove(entry);
    return undefined;
  }

  /**
   * Records a new key. Returns false if the ledger is full, in which case the request
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

  /** Removes a key whose request did not run. */
  discard(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) this.#remove(entry);
  }

  /** Records that a key's request ran, and retains its answer if there is room. */
  setAnswered(fingerprint: string, answer: KeptAnswer | undefined): void {
    const byteCount = answer?.body.length ?? 0;
    const isKept = this.#keptBytes + byteCount <= this.#limits.keptBytes;
    if (isKept) this.#keptBytes += byteCount;
    this.#setState(fingerprint, {
      kind: "answered",
      answer: isKept ? answer : undefined,
    });
  }

  /** Records that a key's request was started and its outcome is unknown. */
  setUnsettled(fingerprint: string): void {
    this.#setState(fingerprint, { kind: "unsettled" });
  }

  /** Returns the entries whose fingerprints satisfy a predicate. */
  filterEntries(
    predicate: (fingerprint: string) => boolean,
  ): readonly LedgerEntry[] {
    return [...this.#entries.values()].filter((entry) =>
      predicate(entry.fingerprint)
    );
  }

  /**
   * Records a key that its previous owner handed over. Returns false if the ledger is
   * full, in which case the history of the key's slot is incomplete.
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

/** Returns whether an entry has expired; a running key never does. */
function isExpired(entry: LedgerEntry, now: number): boolean {
  return entry.state.kind !== "running" && now >= entry.expiresAt;
}
