/**
 * Decides whether a keyed request may run at this target: checks the ownership of the
 * key's slot first, and then the ledger.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import {
  getKeyFingerprint,
  getKeySlot,
  getRequestHash,
  tryGetKeyTime,
} from "../core/idempotency_key.ts";
import type {
  HandedOverKey,
  LedgerSlotMessage,
  SubmitMessage,
} from "../messages/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import {
  type KeptAnswer,
  KeyLedger,
  type KeyState,
  type LedgerEntry,
  type LedgerLimits,
} from "./key_ledger.ts";
import type { OwnedSlots } from "./types.ts";

/**
 * Maximum time between two events, in milliseconds. After a longer time the process may
 * have been frozen and must confirm its ownership. Must be well below the time for which
 * a VM must be gone before other targets claim its slots.
 */
export const STALL_THRESHOLD_MS = 10_000;

/** Maximum difference between the clocks of callers and targets, in milliseconds. */
export const CLOCK_MARGIN_MS = 60_000;

/** The key is new and was recorded as running. */
export interface KeyMayRun {
  readonly kind: "may_run";
  readonly fingerprint: string;
}

/** A request with the key has run; its answer is replayed. */
export interface KeyReplay {
  readonly kind: "replay";
  readonly answer: KeptAnswer;
}

/** The request is refused. */
export interface KeyRefused {
  readonly kind: "refused";
  readonly reason: RefusalName;
}

/** Decision on a keyed request. */
export type KeyDecision = KeyMayRun | KeyReplay | KeyRefused;

/** History of a slot that its previous owner handed over. */
interface ReceivedHistory {
  /** Time of the slot's move, per the owner table, after which it was handed over. */
  readonly tableMovedAt: number;
  /** Wall-clock time since which all keys of the slot are known. */
  readonly movedAt: number;
}

/** Monotonic and wall-clock time of an event, in milliseconds. */
export interface EventTime {
  readonly now: number;
  readonly wallNow: number;
}

/** Decides whether keyed requests may run at this target. */
export class KeyGate {
  readonly #ledger: KeyLedger;
  #version = 0;
  #movedAtBySlot: ReadonlyMap<number, number> = new Map();
  #lastEventAt: number;
  #uncertainSince: number | undefined;
  /** Histories that previous owners handed over, by slot. */
  readonly #histories = new Map<number, ReceivedHistory>();

  /** Creates a gate that owns no slots. */
  constructor(limits: LedgerLimits, now: number) {
    this.#ledger = new KeyLedger(limits);
    this.#lastEventAt = now;
  }

  /** Ledger of the keys that were used at this target. */
  get ledger(): KeyLedger {
    return this.#ledger;
  }

  /** Version of the last confirmed owner table. */
  get version(): number {
    return this.#version;
  }

  /** Owned slots in ascending order. */
  get slots(): readonly number[] {
    return [...this.#movedAtBySlot.keys()].sort((a, b) => a - b);
  }

  /**
   * Applies the claims of an owner table. Returns false if the table is older than the
   * known one or was requested before the last stall.
   */
  confirm(claims: OwnedSlots, requestedAt: number): boolean {
    if (claims.version < this.#version) return false;
    const isStale = this.#uncertainSince !== undefined &&
      requestedAt < this.#uncertainSince;
    if (isStale) return false;
    this.#uncertainSince = undefined;
    this.#version = claims.version;
    this.#movedAtBySlot = new Map(
      claims.slots.map((owned) => [owned.slot, owned.movedAt]),
    );
    return true;
  }

  /** Detects a stall; returns whether ownership has just become uncertain. */
  detectStall(now: number): boolean {
    const elapsedMs = now - this.#lastEventAt;
    this.#lastEventAt = now;
    if (elapsedMs <= STALL_THRESHOLD_MS) return false;
    const wasCertain = this.#uncertainSince === undefined;
    this.#uncertainSince = now;
    return wasCertain;
  }

  /** Returns whether a request with an admitted key may still be started. */
  mayStart(fingerprint: string): boolean {
    return this.#uncertainSince === undefined &&
      this.#movedAtBySlot.has(getKeySlot(fingerprint));
  }

  /** Creates the message that hands over a slot's keys to its new owner. */
  createHandover(slot: number, now: number): LedgerSlotMessage {
    const entries = this.#ledger.filterEntries((fingerprint) =>
      getKeySlot(fingerprint) === slot
    );
    return {
      kind: "ledger_slot",
      slot,
      movedAt: this.#tryKnownSince(slot) ?? Number.MAX_SAFE_INTEGER,
      keys: entries.map((entry) => createHandedOverKey(entry, now)),
    };
  }

  /** Adds the keys of a slot that its previous owner handed over. */
  addHistory(history: LedgerSlotMessage, now: number): void {
    const { slot, movedAt, keys } = history;
    const tableMovedAt = this.#movedAtBySlot.get(slot);
    if (tableMovedAt === undefined) return;
    const isComplete = keys.every((key) =>
      this.#ledger.tryAddHandedOver(createLedgerEntry(key, now), now)
    );
    if (!isComplete || movedAt > tableMovedAt) return;
    this.#histories.set(slot, { tableMovedAt, movedAt });
  }

  /** Returns the wall-clock time since which all keys of an owned slot are known. */
  #tryKnownSince(slot: number): number | undefined {
    const tableMovedAt = this.#movedAtBySlot.get(slot);
    const history = this.#histories.get(slot);
    // A history that was handed over before a later move is incomplete.
    const isValid = history !== undefined &&
      history.tableMovedAt === tableMovedAt;
    return isValid ? history.movedAt : tableMovedAt;
  }

  /**
   * Decides on a keyed request.
   *
   * @example
   * ```ts
   * const decision = gate.decide({ ...submit, idempotencyKey }, time);
   * ```
   */
  decide(
    request: SubmitMessage & { readonly idempotencyKey: string },
    time: EventTime,
  ): KeyDecision {
    const fingerprint = getKeyFingerprint(request);
    if (this.#uncertainSince !== undefined) return refuse("OWNER_UNCERTAIN");
    const movedAt = this.#tryKnownSince(getKeySlot(fingerprint));
    if (movedAt === undefined) return refuse("NOT_OWNER");
    const requestHash = getRequestHash(request);
    const entry = this.#ledger.tryGet(fingerprint, time.now);
    if (entry !== undefined) {
      if (entry.requestHash !== requestHash) return refuse("KEY_REUSED");
      return decideForKnownKey(entry.state);
    }
    if (mayPredate(request, movedAt, time)) {
      return refuse("KEY_HISTORY_UNKNOWN");
    }
    const isAdded = this.#ledger.tryAdd({
      fingerprint,
      requestHash,
      expiresAt: time.now + request.keyRetentionMs,
      state: { kind: "running" },
    }, time.now);
    if (isAdded) return { kind: "may_run", fingerprint };
    return refuse("KEY_LEDGER_FULL");
  }
}

function decideForKnownKey(state: KeyState): KeyDecision {
  return match(state)
    .returnType<KeyDecision>()
    .with({ kind: "running" }, () => refuse("KEY_IN_PROGRESS"))
    .with({ kind: "unsettled" }, () => refuse("KEY_OUTCOME_UNKNOWN"))
    .with({ kind: "answered", answer: P.nonNullable }, ({ answer }) => ({
      kind: "replay",
      answer,
    }))
    .with({ kind: "answered" }, () => refuse("KEY_ANSWER_NOT_KEPT"))
    .exhaustive();
}

/** Returns whether a key may have been used before the slot's keys became known. */
function mayPredate(
  request: SubmitMessage & { readonly idempotencyKey: string },
  movedAt: number,
  time: EventTime,
): boolean {
  if (movedAt === 0) return false;
  const unknownUntil = movedAt + request.keyRetentionMs + CLOCK_MARGIN_MS;
  if (time.wallNow > unknownUntil) return false;
  const createdAt = tryGetKeyTime(request.idempotencyKey);
  if (createdAt === undefined) return true;
  return createdAt <= movedAt + CLOCK_MARGIN_MS;
}

function createHandedOverKey(entry: LedgerEntry, now: number): HandedOverKey {
  const { fingerprint, requestHash, expiresAt, state } = entry;
  const isAnswered = state.kind === "answered";
  return {
    fingerprint,
    requestHash,
    remainingMs: expiresAt - now,
    isAnswered,
    answer: isAnswered ? state.answer : undefined,
  };
}

function createLedgerEntry(key: HandedOverKey, now: number): LedgerEntry {
  const { fingerprint, requestHash, remainingMs, isAnswered, answer } = key;
  return {
    fingerprint,
    requestHash,
    expiresAt: now + remainingMs,
    state: isAnswered ? { kind: "answered", answer } : { kind: "unsettled" },
  };
}

function refuse(reason: RefusalName): KeyRefused {
  return { kind: "refused", reason };
}
