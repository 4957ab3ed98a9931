/**
 * Types of the messages between lagoonwharf's processes. An entry dials targets, and
 * each side proves that it knows the deployment's secret before any other message is
 * exchanged.
 *
 * @module
 */
import type { PeerMessage } from "./peer_types.ts";
import type { FormedGroupMessage } from "./formed_group_types.ts";
import type {
  CoordinatorMessage,
  MemberMessage,
  RankLoad,
} from "./group_types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { BackEndNotice } from "./back_end_notice.ts";
import type { Priority } from "./priority.ts";

/** Version of the message protocol; peers with another version are rejected. */
export const PROTOCOL_VERSION = 1;

/** One header with a lower-case name. Headers are lists, since names may repeat. */
export type Header = readonly [name: string, value: string];

/**
 * Role in which a process dials another: an entry, rank 0 of a group (`target`), the
 * new owner of key slots that the dialled target released (`successor`), or the decider
 * of a formed group.
 */
export type LinkRole = "entry" | "target" | "successor" | "decider";

/** First message on a connection, sent by the dialled side. */
export interface ChallengeMessage {
  readonly kind: "challenge";
  readonly protocol: number;
  readonly nonce: string;
}

/** Identifies the dialling side and proves that it knows the secret. */
export interface HelloMessage {
  readonly kind: "hello";
  readonly protocol: number;
  readonly deployment: string;
  readonly role: LinkRole;
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly nonce: string;
  readonly proof: string;
}

/** Identifies the dialled target and proves that it knows the secret. */
export interface WelcomeMessage {
  readonly kind: "welcome";
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly pool: string;
  /** Requests that the back end runs concurrently. */
  readonly concurrency: number;
  readonly proof: string;
}

/** Submits one attempt of a caller's request. */
export interface SubmitMessage {
  readonly kind: "submit";
  readonly requestId: number;
  readonly attempt: number;
  readonly organisation: string;
  readonly service: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly priority: Priority;
  /** Weight of the organisation in the target's fair queue. */
  readonly weight: number;
  /** Milliseconds until the deadline when the message was sent. */
  readonly remainingMs: number;
  readonly idempotencyKey?: string;
  /** Milliseconds for which the target retains the key. */
  readonly keyRetentionMs: number;
}

/** Cancels an attempt. */
export interface CancelMessage {
  readonly kind: "cancel";
  readonly requestId: number;
  readonly attempt: number;
}

/** Status and headers of an answer; its sequence number is always 0. */
export interface AnswerHeadMessage {
  readonly kind: "answer_head";
  readonly requestId: number;
  readonly attempt: number;
  readonly sequence: number;
  readonly status: number;
  readonly headers: readonly Header[];
  /**
   * Whether closing the connection ends the answer, so that its end cannot be
   * distinguished from a crash of the sender; see `AnswerFraming`.
   */
  readonly endsWithConnection?: boolean;
  /** Undefined if the answer carries no notice. */
  readonly notice?: BackEndNotice;
}

/** A chunk of an answer's body. */
export interface AnswerDataMessage {
  readonly kind: "answer_data";
  readonly requestId: number;
  readonly attempt: number;
  readonly sequence: number;
  readonly bytes: Uint8Array;
}

/** Ends an answer, which is complete if `byteCount` bytes have arrived. */
export interface AnswerEndMessage {
  readonly kind: "answer_end";
  readonly requestId: number;
  readonly attempt: number;
  readonly sequence: number;
  readonly byteCount: number;
  /** Load of the target at the time of sending, so that reports can be infrequent. */
  readonly queued: number;
  readonly running: number;
  /**
   * Milliseconds for which the connection to the back end can carry another request;
   * set only for a back end that is called without a target process.
   */
  readonly keptMs?: number;
}

/** Ends an attempt without an answer, or with an incomplete one. */
export interface RefusedMessage {
  readonly kind: "refused";
  readonly requestId: number;
  readonly attempt: number;
  /** As in {@link AnswerEndMessage}. */
  readonly keptMs?: number;
  /** As in {@link AnswerHeadMessage}. */
  readonly notice?: BackEndNotice;
  /**
   * Id of the lost back end because of which this one could not run the request, if the
   * back end named it.
   */
  readonly lostPeer?: string;
  readonly reason: RefusalName;
  /** What is known about the key, or about the submission if it has no key. */
  readonly outcome: Outcome;
  readonly submission: Outcome;
}

/** Load of a target, sent at a limited rate when it changes. */
export interface ReportMessage {
  readonly kind: "report";
  readonly queued: number;
  readonly running: number;
  /** Mean duration of recent runs, in milliseconds. */
  readonly meanRunMs: number;
}

/** The target accepts no new requests from now on. */
export interface LeavingMessage {
  readonly kind: "leaving";
}

/** The target accepts new requests again. */
export interface ServingMessage {
  readonly kind: "serving";
}

/** The key slots that the target owned when it last read the owner table. */
export interface ClaimsMessage {
  readonly kind: "claims";
  /** Version of the owner table in which the claim was made. */
  readonly version: number;
  readonly slotCount: number;
  readonly slots: readonly number[];
}

/** Offers the settings that the sender has in force. */
export interface SettingsOfferMessage {
  readonly kind: "settings_offer";
  readonly revision: number;
}

/** Requests the head of the offered settings. */
export interface SettingsHeadRequestMessage {
  readonly kind: "settings_head_request";
}

/** Head of the settings that the sender has in force. */
export interface SettingsHeadMessage {
  readonly kind: "settings_head";
  /** The head value, as in the key-value service. */
  readonly head: string;
}

/** Requests bodies by hash. */
export interface SettingsFetchMessage {
  readonly kind: "settings_fetch";
  readonly hashes: readonly string[];
}

/** Requested bodies, without those that the sender does not hold. */
export interface SettingsBodiesMessage {
  readonly kind: "settings_bodies";
  readonly asked: readonly string[];
  readonly bodies: readonly string[];
}

/** Requests the state of a target for the `status` command. */
export interface StatusRequestMessage {
  readonly kind: "status_request";
}

/** State of a target for the `status` command. */
export interface StatusMessage {
  readonly kind: "status";
  readonly revision: number;
  readonly queued: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** Message of rank 0 to a rank of its group. */
export interface GroupOrderMessage {
  readonly kind: "group_order";
  readonly order: CoordinatorMessage;
}

/** Message of a rank to rank 0 of its group. */
export interface GroupReportMessage {
  readonly kind: "group_report";
  readonly report: MemberMessage;
}

/** Requests the load that a rank's engine measured. */
export interface RankLoadRequestMessage {
  readonly kind: "rank_load_request";
}

/** Load that a rank's engine measured. */
export interface RankLoadMessage {
  readonly kind: "rank_load";
  readonly load: RankLoad;
}

/** Requests the known keys of a slot from the target that released it. */
export interface LedgerRequestMessage {
  readonly kind: "ledger_request";
  readonly slot: number;
}

/** A key as recorded by its previous owner. */
export interface HandedOverKey {
  readonly fingerprint: string;
  readonly requestHash: string;
  /** Milliseconds for which the key must still be retained. */
  readonly remainingMs: number;
  /** False if a request with this key was started and its outcome is unknown. */
  readonly isAnswered: boolean;
  /** The answer, if it was retained. */
  readonly answer?: KeptAnswerMessage;
}

/** A retained answer that can be replayed. */
export interface KeptAnswerMessage {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** All keys that were used in a slot since a given time. */
export interface LedgerSlotMessage {
  readonly kind: "ledger_slot";
  readonly slot: number;
  /**
   * Wall-clock milliseconds since which all used keys are included; 0 if all keys that
   * were ever used are included.
   */
  readonly movedAt: number;
  readonly keys: readonly HandedOverKey[];
}

/** Any message between processes. */
export type Message =
  | ChallengeMessage
  | HelloMessage
  | WelcomeMessage
  | SubmitMessage
  | CancelMessage
  | AnswerHeadMessage
  | AnswerDataMessage
  | AnswerEndMessage
  | RefusedMessage
  | ReportMessage
  | LeavingMessage
  | ServingMessage
  | ClaimsMessage
  | SettingsMessage
  | StatusRequestMessage
  | StatusMessage
  | GroupOrderMessage
  | GroupReportMessage
  | RankLoadRequestMessage
  | RankLoadMessage
  | FormedGroupMessage
  | LedgerRequestMessage
  | LedgerSlotMessage
  | PeerMessage;

/** Messages that belong to one attempt of one request. */
export type AttemptMessage =
  | AnswerHeadMessage
  | AnswerDataMessage
  | AnswerEndMessage
  | RefusedMessage;

/** Messages about settings; both sides of a connection may send them. */
export type SettingsMessage =
  | SettingsOfferMessage
  | SettingsHeadRequestMessage
  | SettingsHeadMessage
  | SettingsFetchMessage
  | SettingsBodiesMessage;

/** Returns whether a message belongs to one attempt of one request. */
export function isAttemptMessage(message: Message): message is AttemptMessage {
  return message.kind === "answer_head" || message.kind === "answer_data" ||
    message.kind === "answer_end" || message.kind === "refused";
}

const SETTINGS_KINDS: ReadonlySet<Message["kind"]> = new Set([
  "settings_offer",
  "settings_head_request",
  "settings_head",
  "settings_fetch",
  "settings_bodies",
]);

/** Returns whether a message is about settings. */
export function isSettingsMessage(
  message: Message,
): message is SettingsMessage {
  return SETTINGS_KINDS.has(message.kind);
}
