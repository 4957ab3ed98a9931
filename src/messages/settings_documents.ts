/**
 * The vocabulary of settings: the documents that operators write.
 *
 * @module
 */
import type { Priority } from "./priority.ts";

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

/** What operators say of one failure domain. Path: `/failure-domains/NAME`. */
export interface FailureDomainDocument {
  readonly kind: "failure_domain";
  /** Its targets are sent no new requests from now on. */
  readonly draining: boolean;
}

/** Any settings document. */
export type SettingsDocument =
  | OrganisationDocument
  | ServiceDocument
  | TeamDocument
  | GroupDocument
  | TargetDocument
  | FailureDomainDocument;
