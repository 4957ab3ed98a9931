/**
 * Types of the settings documents that operators write.
 *
 * @module
 */
import type { Priority } from "./priority.ts";
import type { SocketAddress } from "./socket_address.ts";

/** Limits of an organisation. Path: `/organisations/NAME`. */
export interface OrganisationDocument {
  readonly kind: "organisation";
  /** Requests per second that one entry admits. */
  readonly requestsPerSecond: number;
  /** Requests above the rate that are admitted in a burst. */
  readonly burst: number;
  /** Maximum number of requests in flight through one entry. */
  readonly concurrency: number;
  /** Weight in the targets' fair queues relative to other organisations. */
  readonly weight: number;
  /** Hexadecimal SHA-256 of each access key that its callers may use. */
  readonly accessKeySha256: readonly string[];
  /**
   * Priority of its requests in pools whose services have different priorities, in place
   * of the service's priority; undefined: the service's priority applies.
   */
  readonly priority?: Priority;
}

/** One of several pools among which a service's requests are divided. */
export interface PoolShare {
  readonly pool: string;
  /** Share of the requests, relative to the weights of the other pools. */
  readonly weight: number;
}

/** A service. Path: `/organisations/NAME/services/NAME`. */
export interface ServiceDocument {
  readonly kind: "service";
  /** The service gets requests for this path and all paths below it. */
  readonly pathPrefix: string;
  /**
   * Whether `pathPrefix` ends with a slash that a request's path must have, too;
   * undefined: the path without that slash belongs to the service as well.
   */
  readonly requiresLastSlash?: boolean;
  /** Host for which requests must be sent; undefined: any host. */
  readonly host?: string;
  /** Name of the pool of targets that serves the requests. */
  readonly pool: string;
  /** Pools among which the requests are divided; undefined: `pool` gets all of them. */
  readonly split?: readonly PoolShare[];
  /**
   * Whether all requests are refused, because the operators' settings do not say which
   * pool serves them. Without the service, a shorter prefix would get its requests.
   */
  readonly isUnservable?: boolean;
  /**
   * Whose requests are admitted: those of anyone, counted against the limits of the
   * organisation that owns the service, or those with an access key, counted against the
   * limits of the key's organisation.
   */
  readonly callers: "anyone" | "access_key";
  /** Maximum number of targets to which one request may be sent. */
  readonly mostAttempts: number;
  /**
   * Whether an interrupted event stream may be resumed at another target, from the event
   * after the last one that the caller received.
   */
  readonly resumable: boolean;
  /** Objective for the time to the first byte, in milliseconds; undefined: none. */
  readonly objectiveMs?: number;
  /**
   * Objective for the time between two chunks of a streamed answer, in milliseconds;
   * undefined: none.
   */
  readonly pauseObjectiveMs?: number;
  /**
   * Milliseconds after which callers leave if they hear nothing, before the first chunk
   * of an answer or between two; undefined: they stay until their deadline.
   */
  readonly silenceLimitMs?: number;
  /** Whether lagoonwharf or the old scripts serve the requests. */
  readonly handover: "lagoonwharf" | "scripts";
  /** Host and port of the old scripts. */
  readonly scriptsAddress?: SocketAddress;
  readonly priority: Priority;
  /** Deadline for requests that specify none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Maximum deadline, in milliseconds; longer deadlines of callers are reduced to it. */
  readonly longestDeadlineMs: number;
  /** Maximum length of a request body, in bytes. */
  readonly largestBodyBytes: number;
  /** Maximum average number of retries per request. */
  readonly retryShare: number;
  /** Methods whose requests may safely run more than once. */
  readonly idempotentMethods: readonly string[];
  /** Milliseconds for which an idempotency key is retained. */
  readonly keyRetentionMs: number;
}

/** A team and its write permission. Path: `/teams/NAME`. */
export interface TeamDocument {
  readonly kind: "team";
  /** Path that the team may write, with all paths below it. */
  readonly subtree: string;
  /** Hexadecimal SHA-256 of the team's token. */
  readonly tokenSha256: string;
}

/** A group of ranks. Path: `/groups/NAME`. */
export interface GroupDocument {
  readonly kind: "group";
  readonly preset: "skew" | "cost";
  /** Milliseconds between two evaluations of the expert map. */
  readonly intervalMs: number;
}

/** Settings of one target. Path: `/targets/NAME`. */
export interface TargetDocument {
  readonly kind: "target";
  /** Whether the target is to leave; a leaving target accepts no new requests. */
  readonly leaving: boolean;
}

/** Settings of one failure domain. Path: `/failure-domains/NAME`. */
export interface FailureDomainDocument {
  readonly kind: "failure_domain";
  /** Whether the domain is drained; its targets are then sent no new requests. */
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
