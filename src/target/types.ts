/**
 * The vocabulary of the target role: its events and effects.
 *
 * @module
 */
import type {
  ClaimsMessage,
  Header,
  LeavingMessage,
  LedgerSlotMessage,
  Message,
  ServingMessage,
  SubmitMessage,
} from "../messages/types.ts";
import type { BackEndFailure } from "../external/back_end.ts";
import type { RefusalName } from "../refusals/catalogue.ts";

/** The key slots that a target owns. */
export interface OwnedSlots {
  /** Version of the owner table in which they stand. */
  readonly version: number;
  readonly slots: readonly OwnedSlot[];
}

/** One slot and since when its history is known. */
export interface OwnedSlot {
  readonly slot: number;
  /**
   * Wall-clock milliseconds of the move to this owner; 0 when the slot never
   * had another.
   */
  readonly movedAt: number;
}

/** An entry's connection was opened. */
export interface LinkOpened {
  readonly kind: "link_opened";
  readonly now: number;
  readonly linkId: number;
}

/** An entry's connection was lost; no more replies reach it. */
export interface LinkClosed {
  readonly kind: "link_closed";
  readonly now: number;
  readonly linkId: number;
}

/** A message of an entry arrived. */
export interface MessageReceived {
  readonly kind: "message_received";
  readonly now: number;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  readonly linkId: number;
  readonly message: Message;
}

/** The back end's answer began. */
export interface BackEndHead {
  readonly kind: "back_end_head";
  readonly now: number;
  readonly runId: number;
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece of the back end's answer. */
export interface BackEndData {
  readonly kind: "back_end_data";
  readonly now: number;
  readonly runId: number;
  readonly bytes: Uint8Array;
}

/** The back end's answer is whole. */
export interface BackEndEnd {
  readonly kind: "back_end_end";
  readonly now: number;
  readonly runId: number;
}

/** The back end gave no answer, or broke it off. */
export interface BackEndFailed {
  readonly kind: "back_end_failed";
  readonly now: number;
  readonly runId: number;
  readonly failure: BackEndFailure;
}

/** The owner table was read, or written with success. */
export interface ClaimsConfirmed {
  readonly kind: "claims_confirmed";
  readonly now: number;
  readonly claims: OwnedSlots;
  /** When the table was asked for, on the same clock as `now`. */
  readonly askedAt: number;
}

/** The new owner of a released slot asks for its keys. */
export interface HandoverRequested {
  readonly kind: "hand_over_asked";
  readonly now: number;
  readonly linkId: number;
  readonly slot: number;
}

/** The old owner of a slot told its keys. */
export interface HistoryReceived {
  readonly kind: "history_received";
  readonly now: number;
  readonly history: LedgerSlotMessage;
}

/** Time passed. */
export interface TargetTick {
  readonly kind: "tick";
  readonly now: number;
}

/** What the platform's list and the settings say of this target. */
export interface LeavingSet {
  readonly kind: "leaving_set";
  readonly now: number;
  readonly isLeaving: boolean;
}

/** The process was told to end. */
export interface TargetDrainRequested {
  readonly kind: "drain_requested";
  readonly now: number;
}

/** Everything that can happen to a target. */
export type TargetEvent =
  | LinkOpened
  | LinkClosed
  | MessageReceived
  | BackEndHead
  | BackEndData
  | BackEndEnd
  | BackEndFailed
  | ClaimsConfirmed
  | HandoverRequested
  | HistoryReceived
  | TargetTick
  | LeavingSet
  | TargetDrainRequested;

/** Send a message on one connection. */
export interface Reply {
  readonly kind: "reply";
  readonly linkId: number;
  readonly message: Message;
}

/** Send a message on every connection. */
export interface Broadcast {
  readonly kind: "broadcast";
  readonly message: LeavingMessage | ServingMessage | ClaimsMessage;
}

/** Hand a request to the back end. It counts as begun from here on. */
export interface StartBackEnd {
  readonly kind: "start_back_end";
  readonly runId: number;
  readonly request: SubmitMessage;
}

/** Break off a call of the back end. */
export interface CancelBackEnd {
  readonly kind: "cancel_back_end";
  readonly runId: number;
}

/** Read the owner table before any keyed request is begun. */
export interface ConfirmClaims {
  readonly kind: "confirm_claims";
}

/** Count a refusal. */
export interface CountRefusal {
  readonly kind: "count_refusal";
  readonly reason: RefusalName;
}

/** Nothing is in flight any more and nothing will be taken. */
export interface Drained {
  readonly kind: "drained";
}

/** Everything that a target's reducer can ask for. */
export type TargetEffect =
  | Reply
  | Broadcast
  | StartBackEnd
  | CancelBackEnd
  | ConfirmClaims
  | CountRefusal
  | Drained;

/** Limits of one target. */
export interface TargetLimits {
  /** Requests that the back end runs at once. */
  readonly concurrency: number;
  /** Requests that wait. */
  readonly queueLength: number;
  /** Keys that are remembered. */
  readonly ledgerLength: number;
  /** Largest answer that is kept for a key, in bytes. */
  readonly keptAnswerBytes: number;
  /** Bytes of all kept answers together. */
  readonly keptBytes: number;
  /** Milliseconds for which pieces of an answer are gathered. */
  readonly gatherMs: number;
}
