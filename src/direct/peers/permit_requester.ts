/**
 * Requests permits from other entries to send to targets that have limits.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import { performance } from "node:perf_hooks";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import {
  PERMIT_TIMEOUT_MS,
  type PermitOutcome,
  type PermitRequest,
  type PermitResponse,
} from "../../policy/send_permits.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/** Milliseconds after which an unused connection is closed. */
const IDLE_TIMEOUT_MS = 15_000;

/** Options of a {@link PermitRequester}. */
export interface PermitRequesterOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  /** Returns the host and port of an entry; undefined if it is no longer listed. */
  readonly tryAddress: (entry: string) => SocketAddress | undefined;
  /** Called once for each request. */
  readonly onOutcome: (outcome: PermitOutcome) => void;
}

/** A request that has no answer yet. */
interface PendingRequest {
  readonly request: PermitRequest;
  readonly askedAt: number;
  readonly timeout: NodeJS.Timeout;
}

/** A connection to an entry that issues permits. */
interface IssuerConnection {
  readonly client: LinkClient;
  link: Link | undefined;
  /** Requests that wait for the connection. */
  pendingQueryIds: number[];
  idleTimer: NodeJS.Timeout;
}

/** Requests permits from other entries. */
export class PermitRequester {
  readonly #options: PermitRequesterOptions;
  readonly #issuers = new Map<SocketAddress, IssuerConnection>();
  readonly #pending = new Map<number, PendingRequest>();
  #queryId = 0;

  /** Connects to no entry yet. */
  constructor(options: PermitRequesterOptions) {
    this.#options = options;
  }

  /** Requests permits, and reports the outcome within {@link PERMIT_TIMEOUT_MS}. */
  request(request: PermitRequest): void {
    const queryId = ++this.#queryId;
    const askedAt = performance.now();
    const timeout = setTimeout(() => this.#settle(queryId), PERMIT_TIMEOUT_MS);
    this.#pending.set(queryId, { request, askedAt, timeout });
    const address = this.#options.tryAddress(request.entry);
    if (address === undefined) {
      // Deferred, so that the outcome is not reported while the effects of the decision
      // to request permits are still applied.
      setImmediate(() => this.#settle(queryId));
      return;
    }
    const issuer = this.#issuers.get(address) ?? this.#connect(address);
    issuer.idleTimer.refresh();
    if (issuer.link === undefined) issuer.pendingQueryIds.push(queryId);
    else this.#send(issuer.link, queryId);
  }

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.#issuers.keys()]) this.#disconnect(address);
    for (const { timeout } of this.#pending.values()) clearTimeout(timeout);
    this.#pending.clear();
  }

  #connect(address: SocketAddress): IssuerConnection {
    const client = new LinkClient({
      address,
      log: this.#options.log,
      role: "entry",
      identity: this.#options.identity,
      listener: {
        onConnected: (link) => this.#onConnected(issuer, link),
        onMessage: (message) => {
          if (message.kind !== "send_permits") return;
          const { queryId, granted, waitMs } = message;
          this.#settle(queryId, { granted, waitMs });
        },
        onDisconnected: () => issuer.link = undefined,
        onDialFailed: () => undefined,
      },
    });
    const issuer: IssuerConnection = {
      client,
      link: undefined,
      pendingQueryIds: [],
      idleTimer: setTimeout(() => this.#disconnect(address), IDLE_TIMEOUT_MS),
    };
    this.#issuers.set(address, issuer);
    return issuer;
  }

  #onConnected(issuer: IssuerConnection, link: Link): void {
    issuer.link = link;
    const { pendingQueryIds } = issuer;
    issuer.pendingQueryIds = [];
    for (const queryId of pendingQueryIds) this.#send(link, queryId);
  }

  #disconnect(address: SocketAddress): void {
    const issuer = this.#issuers.get(address);
    if (issuer === undefined) return;
    clearTimeout(issuer.idleTimer);
    issuer.client.stop();
    this.#issuers.delete(address);
  }

  /** Sends a request, unless it has timed out while waiting for the connection. */
  #send(link: Link, queryId: number): void {
    const pending = this.#pending.get(queryId);
    if (pending === undefined) return;
    const { target, count } = pending.request;
    link.send({ kind: "send_permit_query", queryId, target, count });
  }

  #settle(queryId: number, answer?: PermitResponse): void {
    const pending = this.#pending.get(queryId);
    if (pending === undefined) return;
    this.#pending.delete(queryId);
    clearTimeout(pending.timeout);
    const { target, entry } = pending.request;
    const { askedAt } = pending;
    this.#options.onOutcome({ target, entry, askedAt, answer });
  }
}
