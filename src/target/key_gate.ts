/**
 * Decides whether a keyed request may run here: ownership of the key's slot
 * first, then the ledger.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import {
  fingerprintOf,
  requestHashOf,
  slotOf,
  tryTimeOfKey,
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
 * Longest time without a tick after which the process may have been paused and
 * its ownership must be confirmed. Must be well below the time for which a
 * machine has to be gone before others take its slots.
 */
export const PAUSE_LIMIT_MS = 10_000;

/** How far clocks of callers and targets may differ, in milliseconds. */
export const CLOCK_MARGIN_MS = 60_000;

/** The key is new and is now remembered as running. */
export interface KeyMayRun {
  readonly kind: "may_run";
  readonly fingerprint: string;
}

/** The key has run; here is its answer. */
export interface KeyReplay {
  readonly kind: "replay";
  readonly answer: KeptAnswer;
}

/** The key may not run now. */
export interface KeyRefused {
  readonly kind: "refused";
  readonly reason: RefusalName;
}

/** What may be done with a keyed request. */
export type KeyDecision = KeyMayRun | KeyReplay | KeyRefused;

/** Since when a slot's keys are known, by its old owner's word. */
interface ReceivedHistory {
  /** The move, by the owner table, after which it was handed over. */
  readonly tableMovedAt: number;
  readonly movedAt: number;
}

/** Times at which a decision is made. */
export interface EventTime {
  readonly now: number;
  readonly wallNow: number;
}

/** Decides whether keyed requests may run here. */
export class KeyGate {
  readonly #ledger: KeyLedger;
  #version = 0;
  #movedAtBySlot: ReadonlyMap<number, number> = new Map();
  #lastTickAt: number;
  #uncertainSince: number | undefined;
  /** Histories that old owners handed over, by slot. */
  readonly #histories = new Map<number, ReceivedHistory>();

  /** Owns nothing at first. */
  constructor(limits: LedgerLimits, now: number) {
    this.#ledger = new KeyLedger(limits);
    this.#lastTickAt = now;
  }

  /** The ledger behind the gate. */
  get ledger(): KeyLedger {
    return this.#ledger;
  }

  /** Version of the owner table that is known. */
  get version(): number {
    return this.#version;
  }

  /** Slots owned, in order. */
  get slots(): readonly number[] {
    return [...this.#movedAtBySlot.keys()].sort((a, b) => a - b);
  }

  /**
   * Takes in what the owner table says; false when it is older than what is
   * known or was asked for before a pause.
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

  /** Notices a pause; true when ownership has just become uncertain. */
  detectPause(now: number): boolean {
    const elapsedMs = now - this.#lastTickAt;
    this.#lastTickAt = now;
    if (elapsedMs <= PAUSE_LIMIT_MS) return false;
    const wasCertain = this.#uncertainSince === undefined;
    this.#uncertainSince = now;
    return wasCertain;
  }

  /** Whether a key that was let through may still be begun. */
  mayStart(fingerprint: string): boolean {
    return this.#uncertainSince === undefined &&
      this.#movedAtBySlot.has(slotOf(fingerprint));
  }

  /** What is known of a slot, for its new owner. */
  createHandover(slot: number, now: number): LedgerSlotMessage {
    const entries = this.#ledger.filterEntries((fingerprint) =>
      slotOf(fingerprint) === slot
    );
    return {
      kind: "ledger_slot",
      slot,
      movedAt: this.#tryKnownSince(slot) ?? Number.MAX_SAFE_INTEGER,
      keys: entries.map((entry) => createHandedOverKey(entry, now)),
    };
  }

  /** Takes over what the old owner of a slot knew. */
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

  /** Wall-clock time since which all keys of an owned slot are known. */
  #tryKnownSince(slot: number): number | undefined {
    const tableMovedAt = this.#movedAtBySlot.get(slot);
    const history = this.#histories.get(slot);
    // A later move makes what was handed over before it worthless.
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
    const fingerprint = fingerprintOf(request);
    if (this.#uncertainSince !== undefined) return refuse("OWNER_UNCERTAIN");
    const movedAt = this.#tryKnownSince(slotOf(fingerprint));
    if (movedAt === undefined) return refuse("NOT_OWNER");
    const requestHash = requestHashOf(request);
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

/** Whether the key may have been used before this owner knew of it. */
function mayPredate(
  request: SubmitMessage & { readonly idempotencyKey: string },
  movedAt: number,
  time: EventTime,
): boolean {
  if (movedAt === 0) return false;
  const unknownUntil = movedAt + request.keyRetentionMs + CLOCK_MARGIN_MS;
  if (time.wallNow > unknownUntil) return false;
  const createdAt = tryTimeOfKey(request.idempotencyKey);
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
