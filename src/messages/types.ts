/**
 * The messages between lagoonwharf's own processes. An entry dials targets;
 * both sides prove that they know the deployment's secret before anything else
 * is said.
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

/** Version of the messages; processes of another version are refused. */
export const PROTOCOL_VERSION = 1;

/** One header, name in lower case. A list, since names may repeat. */
export type Header = readonly [name: string, value: string];

/**
 * Why a process dials another: as an entry, as rank 0 of its group, as the new
 * owner of key slots that the other released, or as the decider of a formed
 * group.
 */
export type LinkRole = "entry" | "target" | "successor" | "decider";

/** First word of the side that was dialled. */
export interface ChallengeMessage {
  readonly kind: "challenge";
  readonly protocol: number;
  readonly nonce: string;
}

/** The dialling side says who it is, and proves that it knows the secret. */
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

/** The dialled target says who it is, and proves that it knows the secret. */
export interface WelcomeMessage {
  readonly kind: "welcome";
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly pool: string;
  /** Requests that the back end runs at once. */
  readonly concurrency: number;
  readonly proof: string;
}

/** One attempt of a caller's request. */
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
  /** Share of the organisation in the target's queue. */
  readonly weight: number;
  /** Milliseconds left when the message was sent. */
  readonly remainingMs: number;
  readonly idempotencyKey?: string;
  /** Milliseconds that the target remembers the key. */
  readonly keyRetentionMs: number;
}

/** The attempt is no longer wanted. */
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
  /** Its end cannot be told from its sender's crash; see `AnswerFraming`. */
  readonly endsWithConnection?: boolean;
  /** Undefined where the back end said nothing of itself. */
  readonly notice?: BackEndNotice;
}

/** A piece of an answer's body. */
export interface AnswerDataMessage {
  readonly kind: "answer_data";
  readonly requestId: number;
  readonly attempt: number;
  readonly sequence: number;
  readonly bytes: Uint8Array;
}

/** The answer is whole when as many bytes arrived as it says. */
export interface AnswerEndMessage {
  readonly kind: "answer_end";
  readonly requestId: number;
  readonly attempt: number;
  readonly sequence: number;
  readonly byteCount: number;
  /** Load of the target as it sent this, so that reports can be rare. */
  readonly queued: number;
  readonly running: number;
  /**
   * Milliseconds for which its connection can carry another request, of a back end that
   * is called without a target process.
   */
  readonly keptMs?: number;
}

/** The attempt gets no answer, or no whole one. */
export interface RefusedMessage {
  readonly kind: "refused";
  readonly requestId: number;
  readonly attempt: number;
  /** As in {@link AnswerEndMessage}. */
  readonly keptMs?: number;
  /** As in {@link AnswerHeadMessage}; undefined where the back end said nothing. */
  readonly notice?: BackEndNotice;
  /** The back end whose loss kept this one from its work, by id, where it said so. */
  readonly lostPeer?: string;
  readonly reason: RefusalName;
  /** What is known of the key (without a key: of the submission). */
  readonly outcome: Outcome;
  readonly submission: Outcome;
}

/** Load of a target, sent on change and with a bound on its rate. */
export interface ReportMessage {
  readonly kind: "report";
  readonly queued: number;
  readonly running: number;
  /** Mean time of recent runs, in milliseconds. */
  readonly meanRunMs: number;
}

/** The target takes no new work from now on. */
export interface LeavingMessage {
  readonly kind: "leaving";
}

/** The target takes new work again. */
export interface ServingMessage {
  readonly kind: "serving";
}

/** The key slots that this target owns, by its last word from the platform. */
export interface ClaimsMessage {
  readonly kind: "claims";
  /** Version of the owner table in which the claim was made. */
  readonly version: number;
  readonly slotCount: number;
  readonly slots: readonly number[];
}

/** The revision of the settings that the sender has in force. */
export interface SettingsOfferMessage {
  readonly kind: "settings_offer";
  readonly revision: number;
}

/** Asks for the head of what was offered. */
export interface SettingsHeadRequestMessage {
  readonly kind: "settings_head_request";
}

/** The newest settings head that the sender has in force. */
export interface SettingsHeadMessage {
  readonly kind: "settings_head";
  /** The head value, as in the key-value service. */
  readonly head: string;
}

/** Asks for bodies by their hash. */
export interface SettingsFetchMessage {
  readonly kind: "settings_fetch";
  readonly hashes: readonly string[];
}

/** Bodies that were asked for; those not held are left out. */
export interface SettingsBodiesMessage {
  readonly kind: "settings_bodies";
  readonly asked: readonly string[];
  readonly bodies: readonly string[];
}

/** Asks a target for its state, for `status`. */
export interface StatusRequestMessage {
  readonly kind: "status_request";
}

/** State of a target, for `status`. */
export interface StatusMessage {
  readonly kind: "status";
  readonly revision: number;
  readonly queued: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** Rank 0's word to a rank of its group. */
export interface GroupOrderMessage {
  readonly kind: "group_order";
  readonly order: CoordinatorMessage;
}

/** A rank's word to rank 0 of its group. */
export interface GroupReportMessage {
  readonly kind: "group_report";
  readonly report: MemberMessage;
}

/** Asks a rank for what its engine counted. */
export interface RankLoadRequestMessage {
  readonly kind: "rank_load_request";
}

/** What a rank's engine counted. */
export interface RankLoadMessage {
  readonly kind: "rank_load";
  readonly load: RankLoad;
}

/** Asks a target that released a key slot for what it knows of its keys. */
export interface LedgerRequestMessage {
  readonly kind: "ledger_request";
  readonly slot: number;
}

/** One key, as its old owner remembers it. */
export interface HandedOverKey {
  readonly fingerprint: string;
  readonly requestHash: string;
  /** Milliseconds for which it is still to be remembered. */
  readonly remainingMs: number;
  /** False when it was begun and its end is not known. */
  readonly isAnswered: boolean;
  /** The answer, if it was kept. */
  readonly answer?: KeptAnswerMessage;
}

/** An answer that can be given again. */
export interface KeptAnswerMessage {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Everything that is known of a key slot since a time. */
export interface LedgerSlotMessage {
  readonly kind: "ledger_slot";
  readonly slot: number;
  /** Wall-clock milliseconds since which all its keys are here; 0: ever. */
  readonly movedAt: number;
  readonly keys: readonly HandedOverKey[];
}

/** Every message between processes. */
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

/** Messages about settings, which both sides may send. */
export type SettingsMessage =
  | SettingsOfferMessage
  | SettingsHeadRequestMessage
  | SettingsHeadMessage
  | SettingsFetchMessage
  | SettingsBodiesMessage;

/** Whether the message belongs to one attempt of one request. */
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

/** Whether the message is about settings. */
export function isSettingsMessage(
  message: Message,
): message is SettingsMessage {
  return SETTINGS_KINDS.has(message.kind);
}
