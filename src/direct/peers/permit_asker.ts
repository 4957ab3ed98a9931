/**
 * Asks other entries for permits to send to targets that have named limits.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import {
  ASK_LIMIT_MS,
  type PermitAnswer,
  type PermitOutcome,
  type PermitQuestion,
} from "../../policy/send_permits.ts";

/** Milliseconds after which a connection that is not used is closed. */
const IDLE_MS = 15_000;

/** Options of a {@link PermitAsker}. */
export interface PermitAskerOptions {
  readonly identity: LinkIdentity;
  /** Host and port of an entry; undefined: it is not listed any more. */
  readonly tryAddress: (entry: string) => string | undefined;
  /** Called once for each question. */
  readonly onOutcome: (outcome: PermitOutcome) => void;
}

/** A question without an answer yet. */
interface OpenQuestion {
  readonly question: PermitQuestion;
  readonly askedAt: number;
  readonly limit: NodeJS.Timeout;
}

/** A connection to one entry that gives permits. */
interface Giver {
  readonly client: LinkClient;
  link: Link | undefined;
  /** Questions that wait for the connection. */
  waiting: number[];
  idle: NodeJS.Timeout;
}

/** Asks other entries for permits. */
export class PermitAsker {
  readonly #options: PermitAskerOptions;
  readonly #givers = new Map<string, Giver>();
  readonly #open = new Map<number, OpenQuestion>();
  #queryId = 0;

  /** Connects to nobody yet. */
  constructor(options: PermitAskerOptions) {
    this.#options = options;
  }

  /** Asks, and tells the outcome within {@link ASK_LIMIT_MS}. */
  ask(question: PermitQuestion): void {
    const queryId = ++this.#queryId;
    const askedAt = performance.now();
    const limit = setTimeout(() => this.#settle(queryId), ASK_LIMIT_MS);
    this.#open.set(queryId, { question, askedAt, limit });
    const address = this.#options.tryAddress(question.entry);
    if (address === undefined) {
      // Not within the effects of the decision to ask.
      setImmediate(() => this.#settle(queryId));
      return;
    }
    const giver = this.#givers.get(address) ?? this.#connect(address);
    giver.idle.refresh();
    if (giver.link === undefined) giver.waiting.push(queryId);
    else this.#send(giver.link, queryId);
  }

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.#givers.keys()]) this.#disconnect(address);
    for (const { limit } of this.#open.values()) clearTimeout(limit);
    this.#open.clear();
  }

  #connect(address: string): Giver {
    const client = new LinkClient({
      address,
      role: "entry",
      identity: this.#options.identity,
      listener: {
        onConnected: (link) => this.#connected(giver, link),
        onMessage: (message) => {
          if (message.kind !== "send_permits") return;
          const { queryId, granted, waitMs } = message;
          this.#settle(queryId, { granted, waitMs });
        },
        onDisconnected: () => giver.link = undefined,
        onDialFailed: () => undefined,
      },
    });
    const giver: Giver = {
      client,
      link: undefined,
      waiting: [],
      idle: setTimeout(() => this.#disconnect(address), IDLE_MS),
    };
    this.#givers.set(address, giver);
    return giver;
  }

  #connected(giver: Giver, link: Link): void {
    giver.link = link;
    const { waiting } = giver;
    giver.waiting = [];
    for (const queryId of waiting) this.#send(link, queryId);
  }

  #disconnect(address: string): void {
    const giver = this.#givers.get(address);
    if (giver === undefined) return;
    clearTimeout(giver.idle);
    giver.client.stop();
    this.#givers.delete(address);
  }

  /** One that waited too long for the connection is not asked any more. */
  #send(link: Link, queryId: number): void {
    const open = this.#open.get(queryId);
    if (open === undefined) return;
    const { target, count } = open.question;
    link.send({ kind: "send_permit_query", queryId, target, count });
  }

  #settle(queryId: number, answer?: PermitAnswer): void {
    const open = this.#open.get(queryId);
    if (open === undefined) return;
    this.#open.delete(queryId);
    clearTimeout(open.limit);
    const { target, entry } = open.question;
    const { askedAt } = open;
    this.#options.onOutcome({ target, entry, askedAt, answer });
  }
}
