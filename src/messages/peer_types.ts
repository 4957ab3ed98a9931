/**
 * Types of the messages between entries. One entry reads the platform's store for many
 * others and sends them updates. All entries replicate the requests under which targets
 * crashed, the limits that targets announce, and the targets that are leaving.
 *
 * @module
 */
import type { BackEndInstance } from "./back_end_instance.ts";
import type { ListedProcess } from "./listed_process.ts";

/** The drained failure domains at a revision of the store. */
export interface DrainSet {
  /** Revision of the store; higher is newer. */
  readonly revision: number;
  /** In alphabetical order. */
  readonly failureDomains: readonly string[];
}

/** A crash of a target under a request, as recorded by another entry. */
export interface CrashUpdate {
  readonly target: string;
  /** Milliseconds since the target was last known to be alive. */
  readonly aliveAgeMs: number;
  /** Milliseconds since the attempt at the target ended without an answer. */
  readonly endedAgeMs: number;
}

/** A request under which targets crashed, as recorded by another entry. */
export interface CrashedRequestUpdate {
  /** Digest of the request. */
  readonly request: string;
  readonly crashes: readonly CrashUpdate[];
  /** Milliseconds since the request was answered after a crash, if it ever was. */
  readonly servedAgeMs?: number;
  /** Milliseconds since an entry decided to refuse it, if one did. */
  readonly refusedAgeMs?: number;
}

/** A target's limit, as recorded by another entry. */
export interface TargetLimitUpdate {
  readonly target: string;
  /** Requests per second from all entries together; undefined: the limit was removed. */
  readonly perSecond?: number;
  /** Number of changes of this target's limit. */
  readonly version: number;
  /** Milliseconds since the target last announced the limit. */
  readonly ageMs: number;
}

/** A target that has announced that it is leaving, as recorded by another entry. */
export interface LeavingTargetUpdate {
  readonly target: string;
  /** Milliseconds since the target's last announcement. */
  readonly ageMs: number;
}

/** One section of the replicated state. */
export interface ReplicatedSectionUpdate<Item> {
  /** Digest, which is equal for equal sections. */
  readonly content: string;
  /** All items; undefined if the receiver is known to have an equal section. */
  readonly items?: readonly Item[];
}

/** State that entries replicate among themselves; empty sections are omitted. */
export interface ReplicatedStateUpdate {
  readonly crashes?: ReplicatedSectionUpdate<CrashedRequestUpdate>;
  readonly limits?: ReplicatedSectionUpdate<TargetLimitUpdate>;
  readonly leaving?: ReplicatedSectionUpdate<LeavingTargetUpdate>;
}

/** What the sender of a query already has, so that only updates are sent. */
export interface KnownVersions {
  /** Version of its settings; undefined when it has none. */
  readonly settingsVersion?: number;
  /** Digest of its list of back ends; undefined when it has none. */
  readonly directoryContent?: string;
  /** Revision of its list of processes; undefined when it does not request the list. */
  readonly processesRevision?: number;
  /** Revision at which its drains were read; undefined when it has read none. */
  readonly drainsRevision?: number;
}

/** Requests updates from the store that the sender does not have yet. */
export interface StoreUpdateQueryMessage extends KnownVersions {
  readonly kind: "store_news_query";
  /** Returned with the response. */
  readonly queryId: number;
  /** Whether the receiver is to send further updates as they arrive. */
  readonly isFollowing: boolean;
  /** Whether the sender reads compressed settings; earlier programs do not. */
  readonly acceptsCompression?: boolean;
  readonly memories: ReplicatedStateUpdate;
}

/** The list of back ends, as received by another entry. */
export interface DirectoryUpdate {
  /** Revision of the store. */
  readonly revision: number;
  /** Milliseconds since the list was requested from the store. */
  readonly ageMs: number;
  /** Digest of the list, which is equal for equal back ends. */
  readonly content: string;
  /** Undefined if the receiver already has an equal list. */
  readonly instances?: readonly BackEndInstance[];
}

/** The list of lagoonwharf's processes, as received by another entry. */
export interface ProcessUpdate {
  /** Revision of the store at which the list last changed. */
  readonly revision: number;
  readonly processes: readonly ListedProcess[];
}

/**
 * Responds to a query, or sends a later update to its sender. What the receiver already
 * has is omitted.
 */
export interface StoreUpdateMessage {
  readonly kind: "store_news";
  /** Query to which this responds; undefined for a later update. */
  readonly queryId?: number;
  /**
   * Whether the sender currently receives responses from the store, directly or through
   * another reader.
   */
  readonly isReading: boolean;
  /** Text of the settings as written by the operator. */
  readonly settingsText?: string;
  /** The same text in UTF-8, compressed in the zlib format. */
  readonly compressedSettings?: Uint8Array;
  /** Milliseconds since the store was last queried for newer settings. */
  readonly settingsAgeMs?: number;
  /** Drained domains, of the same age as the settings, since one watch provides both. */
  readonly drains?: DrainSet;
  readonly directory?: DirectoryUpdate;
  readonly processes?: ProcessUpdate;
  readonly memories: ReplicatedStateUpdate;
}

/** Requests permits from their issuer, for a target that has announced a limit. */
export interface SendPermitQueryMessage {
  readonly kind: "send_permit_query";
  /** Returned with the response. */
  readonly queryId: number;
  readonly target: string;
  /** Number of requests that the requester wants to send. */
  readonly count: number;
}

/** Issues permits, each for one request; possibly none. */
export interface SendPermitsMessage {
  readonly kind: "send_permits";
  readonly queryId: number;
  readonly granted: number;
  /** Milliseconds after which to request permits again, if none was issued. */
  readonly waitMs: number;
}

/** Messages between the entries that use the same store. */
export type PeerMessage =
  | StoreUpdateQueryMessage
  | StoreUpdateMessage
  | SendPermitQueryMessage
  | SendPermitsMessage;
