/**
 * The vocabulary of settings: documents, their findings, and the tree of hashes
 * in which they are kept.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";

/** An organisation's limits. Path: `/organisations/NAME`. */
export interface OrganisationDocument {
  readonly kind: "organisation";
  /** Requests a second that one entry lets in. */
  readonly requestsPerSecond: number;
  /** Requests that may come at once above the rate. */
  readonly burst: number;
  /** Requests in flight through one entry. */
  readonly concurrency: number;
  /** Share in the targets' queues against other organisations. */
  readonly weight: number;
  /** SHA-256, in hexadecimal, of each access key that its callers may use. */
  readonly accessKeySha256: readonly string[];
  /**
   * Priority of its requests where those of a pool differ, in place of the service's;
   * undefined: the service says.
   */
  readonly priority?: Priority;
}

/** One of several pools that share a service's requests. */
export interface PoolShare {
  readonly pool: string;
  /** Share of the requests against the other pools' weights. */
  readonly weight: number;
}

/** One service. Path: `/organisations/NAME/services/NAME`. */
export interface ServiceDocument {
  readonly kind: "service";
  /** Requests whose path is this or lies below it are the service's. */
  readonly pathPrefix: string;
  /** Host that requests must name; undefined: any host. */
  readonly host?: string;
  /** Name of the pool of targets that serves it. */
  readonly pool: string;
  /** Pools that share the requests; undefined: `pool` serves all of them. */
  readonly split?: readonly PoolShare[];
  /**
   * Whose requests are let in: those of anyone, counted on the organisation that
   * owns the service, or those with an access key, counted on its organisation.
   */
  readonly callers: "anyone" | "access_key";
  /** Targets that one request may be sent to, at most. */
  readonly mostAttempts: number;
  /**
   * Whether an event stream that broke off may go on at another target, from
   * the event after the last one that the caller got.
   */
  readonly resumable: boolean;
  /** Milliseconds in which callers hope for a first byte; undefined: unsaid. */
  readonly objectiveMs?: number;
  /**
   * Milliseconds between two pieces of a streamed answer that callers bear; undefined:
   * unsaid.
   */
  readonly pauseObjectiveMs?: number;
  /** Who serves it now. */
  readonly handover: "lagoonwharf" | "scripts";
  /** Host and port of the old scripts. */
  readonly scriptsAddress?: string;
  readonly priority: Priority;
  /** Milliseconds, when the caller gives none. */
  readonly defaultDeadlineMs: number;
  /** Milliseconds, whatever the caller gives. */
  readonly longestDeadlineMs: number;
  /** Largest request body in bytes. */
  readonly largestBodyBytes: number;
  /** Retries over requests, on average. */
  readonly retryShare: number;
  /** Methods that may run twice without harm. */
  readonly idempotentMethods: readonly string[];
  /** Milliseconds for which an idempotency key is remembered. */
  readonly keyRetentionMs: number;
}

/** A team and what it may write. Path: `/teams/NAME`. */
export interface TeamDocument {
  readonly kind: "team";
  /** The team may write this path and all below it. */
  readonly subtree: string;
  /** SHA-256 of the team's token, in hexadecimal. */
  readonly tokenSha256: string;
}

/** A group of ranks. Path: `/groups/NAME`. */
export interface GroupDocument {
  readonly kind: "group";
  readonly preset: "skew" | "cost";
  /** Milliseconds between two looks at the expert map. */
  readonly intervalMs: number;
}

/** What operators say of one target. Path: `/targets/NAME`. */
export interface TargetDocument {
  readonly kind: "target";
  /** The target takes no new work from now on. */
  readonly leaving: boolean;
}

/** Any settings document. */
export type SettingsDocument =
  | OrganisationDocument
  | ServiceDocument
  | TeamDocument
  | GroupDocument
  | TargetDocument;

/** The value that says what is accepted; moved by compare-and-swap only. */
export interface SettingsHead {
  readonly format: 1;
  /** Grows by one with each accepted change. */
  readonly revision: number;
  /** Hash of the {@link SettingsRoot}. */
  readonly root: string;
  /** The newest changes, newest first. */
  readonly recent: readonly RecentChange[];
}

/** One of the newest changes; enough to follow without reading the tree. */
export interface RecentChange {
  readonly revision: number;
  readonly path: string;
  readonly record: string;
}

/** Hashes of the pages, by page number in hexadecimal; empty ones left out. */
export interface SettingsRoot {
  readonly pages: Readonly<Record<string, string>>;
}

/** Hashes of the records of all paths in one page. */
export interface SettingsPage {
  readonly records: Readonly<Record<string, string>>;
}

/** One accepted change of one path. */
export interface SettingsRecord {
  readonly path: string;
  /** The YAML text, or null when the path was removed. */
  readonly text: string | null;
  /** Chosen by whoever asked for the change; makes asking again idempotent. */
  readonly changeId: string;
  readonly revision: number;
  readonly author: string;
  /** Wall-clock time of the entry, RFC 3339. */
  readonly at: string;
  /** Hash of the record of this path before this one. */
  readonly previous: string | null;
}
