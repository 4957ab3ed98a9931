/**
 * Types for the target role: its events and effects.
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
  /** Version of the owner table that lists them. */
  readonly version: number;
  readonly slots: readonly OwnedSlot[];
}

/** An owned slot and the time since which its history is known. */
export interface OwnedSlot {
  readonly slot: number;
  /**
   * Time of the move to this owner in wall-clock milliseconds; 0 if the slot never had
   * another owner.
   */
  readonly movedAt: number;
}

/** The connection of an entry was opened. */
export interface LinkOpened {
  readonly kind: "link_opened";
  readonly now: number;
  readonly linkId: number;
}

/** The connection of an entry was lost; no further replies reach the entry. */
export interface LinkClosed {
  readonly kind: "link_closed";
  readonly now: number;
  readonly linkId: number;
}

/** A message from an entry arrived. */
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

/** A chunk of the back end's answer arrived. */
export interface BackEndData {
  readonly kind: "back_end_data";
  readonly now: number;
  readonly runId: number;
  readonly bytes: Uint8Array;
}

/** The back end's answer is complete. */
export interface BackEndEnd {
  readonly kind: "back_end_end";
  readonly now: number;
  readonly runId: number;
}

/** The back end sent no answer, or an incomplete one. */
export interface BackEndFailed {
  readonly kind: "back_end_failed";
  readonly now: number;
  readonly runId: number;
  readonly failure: BackEndFailure;
}

/** The owner table was read, or successfully written. */
export interface ClaimsConfirmed {
  readonly kind: "claims_confirmed";
  readonly now: number;
  readonly claims: OwnedSlots;
  /** Time at which the table was requested, on the same clock as `now`. */
  readonly requestedAt: number;
}

/** The new owner of a released slot requested its keys. */
export interface HandoverRequested {
  readonly kind: "hand_over_asked";
  readonly now: number;
  readonly linkId: number;
  readonly slot: number;
}

/** The previous owner of a slot handed over its keys. */
export interface HistoryReceived {
  readonly kind: "history_received";
  readonly now: number;
  readonly history: LedgerSlotMessage;
}

/** Periodic event for actions that depend on time. */
export interface TargetTick {
  readonly kind: "tick";
  readonly now: number;
}

/** The list of VMs or the settings changed whether this target is leaving. */
export interface LeavingSet {
  readonly kind: "leaving_set";
  readonly now: number;
  readonly isLeaving: boolean;
}

/** The process was requested to shut down. */
export interface TargetDrainRequested {
  readonly kind: "drain_requested";
  readonly now: number;
}

/** Any event of a target. */
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

/** Sends a message on one connection. */
export interface Reply {
  readonly kind: "reply";
  readonly linkId: number;
  readonly message: Message;
}

/** Sends a message on every connection. */
export interface Broadcast {
  readonly kind: "broadcast";
  readonly message: LeavingMessage | ServingMessage | ClaimsMessage;
}

/** Sends a request to the back end. It counts as started from then on. */
export interface StartBackEnd {
  readonly kind: "start_back_end";
  readonly runId: number;
  readonly request: SubmitMessage;
}

/** Cancels a call to the back end. */
export interface CancelBackEnd {
  readonly kind: "cancel_back_end";
  readonly runId: number;
}

/** Reads the owner table; no keyed request is started before it is confirmed. */
export interface ConfirmClaims {
  readonly kind: "confirm_claims";
}

/** Counts a refusal. */
export interface CountRefusal {
  readonly kind: "count_refusal";
  readonly reason: RefusalName;
}

/** Reports that no request is in flight and that none will be accepted. */
export interface Drained {
  readonly kind: "drained";
}

/** Any effect that a target's reducer requests. */
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
  /** Maximum number of requests that the back end runs concurrently. */
  readonly concurrency: number;
  /** Maximum number of queued requests. */
  readonly queueLength: number;
  /** Maximum number of recorded keys. */
  readonly ledgerLength: number;
  /** Maximum length of an answer that is retained for a key, in bytes. */
  readonly keptAnswerBytes: number;
  /** Maximum bytes of all retained answers together. */
  readonly keptBytes: number;
  /** Milliseconds for which chunks of an answer are gathered. */
  readonly gatherMs: number;
}
