/**
 * What entries tell each other: of the platform's store, which one reads for many, of
 * requests under which targets ended, of the limits that targets name, and of targets that
 * have said that they leave.
 *
 * @module
 */
import type { BackEndInstance } from "./back_end_instance.ts";
import type { ListedProcess } from "./listed_process.ts";

/** The drained failure domains, as the store held them at a revision. */
export interface DrainSet {
  /** Revision of the store at which this was the set; higher is newer. */
  readonly revision: number;
  /** In alphabetical order. */
  readonly failureDomains: readonly string[];
}

/** A target that ended under a request, as another entry heard of it. */
export interface CrashNews {
  readonly target: string;
  /** Milliseconds since it was last known to live. */
  readonly aliveAgeMs: number;
  /** Milliseconds since the attempt there ended without an answer. */
  readonly endedAgeMs: number;
}

/** What another entry remembers of a request under which targets ended. */
export interface CrashedRequestNews {
  /** Digest of the request. */
  readonly request: string;
  readonly crashes: readonly CrashNews[];
  /** Milliseconds since it was answered after a crash, if it ever was. */
  readonly servedAgeMs?: number;
}

/** What another entry remembers of a target's limit. */
export interface TargetLimitNews {
  readonly target: string;
  /** Requests a second from all entries; undefined: the limit has ended. */
  readonly perSecond?: number;
  /** Counts the changes of this target's limit. */
  readonly version: number;
  /** Milliseconds since the target said so last. */
  readonly ageMs: number;
}

/** A target that has said that it leaves, as another entry remembers it. */
export interface LeavingTargetNews {
  readonly target: string;
  /** Milliseconds since it was last heard of. */
  readonly ageMs: number;
}

/** What an entry remembers of one matter. */
export interface MemoryNews<Item> {
  /** In short: the same for the same memory. */
  readonly content: string;
  /** All of it; undefined where the other one was told that it has the same. */
  readonly items?: readonly Item[];
}

/** What an entry remembers that is in no store; a matter of which it remembers none is left out. */
export interface MemoriesNews {
  readonly crashes?: MemoryNews<CrashedRequestNews>;
  readonly limits?: MemoryNews<TargetLimitNews>;
  readonly leaving?: MemoryNews<LeavingTargetNews>;
}

/** What an entry has already, so that only news is told. */
export interface KnownNews {
  /** Version of its settings; undefined when it has none. */
  readonly settingsVersion?: number;
  /** What its list of back ends says; undefined when it has none. */
  readonly directoryContent?: string;
  /** Revision of its list of processes; undefined when it wants none. */
  readonly processesRevision?: number;
  /** Revision at which its drains were read; undefined when it has read none. */
  readonly drainsRevision?: number;
}

/** Asks another entry for whatever it heard from the store since. */
export interface StoreNewsQueryMessage extends KnownNews {
  readonly kind: "store_news_query";
  /** Told with the answer. */
  readonly queryId: number;
  /** Whether news is to follow as it is heard. */
  readonly isFollowing: boolean;
  readonly memories: MemoriesNews;
}

/** A list of back ends as another entry heard it. */
export interface DirectoryNews {
  /** Revision of the store. */
  readonly revision: number;
  /** Milliseconds since the store was asked for it, as told. */
  readonly ageMs: number;
  /** What the list says, in short: the same for the same back ends. */
  readonly content: string;
  /** Undefined where the asker has a list that says the same. */
  readonly instances?: readonly BackEndInstance[];
}

/** The system's own processes, as another entry heard of them. */
export interface ProcessNews {
  /** Revision of the store at which the list last changed. */
  readonly revision: number;
  readonly processes: readonly ListedProcess[];
}

/** Answers a query, or follows one; what the asker has already is left out. */
export interface StoreNewsMessage {
  readonly kind: "store_news";
  /** Question that this answers; undefined for news that follows. */
  readonly queryId?: number;
  /** Whether the store answers the sender, or a reader that the store answers. */
  readonly isReading: boolean;
  /** Settings as the operator wrote them. */
  readonly settingsText?: string;
  /** Milliseconds since the store was asked whether there are newer ones. */
  readonly settingsAgeMs?: number;
  /** As old as the settings, since both come from one watch. */
  readonly drains?: DrainSet;
  readonly directory?: DirectoryNews;
  readonly processes?: ProcessNews;
  readonly memories: MemoriesNews;
}

/** Asks the entry that gives permits for a target that has named a limit. */
export interface SendPermitQueryMessage {
  readonly kind: "send_permit_query";
  /** Told with the answer. */
  readonly queryId: number;
  readonly target: string;
  /** Requests that the asker would send. */
  readonly count: number;
}

/** Gives permits, each for one request, or none. */
export interface SendPermitsMessage {
  readonly kind: "send_permits";
  readonly queryId: number;
  readonly granted: number;
  /** Milliseconds after which asking again makes sense, where none is given. */
  readonly waitMs: number;
}

/** Messages between entries that follow one store. */
export type PeerMessage =
  | StoreNewsQueryMessage
  | StoreNewsMessage
  | SendPermitQueryMessage
  | SendPermitsMessage;
