/**
 * Exchanges settings between lagoonwharf processes: offers the settings in force,
 * requests newer ones, and answers queries for bodies.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type { Link } from "../links/link.ts";
import type { PeerBodySource } from "./peer_body_source.ts";
import type { SettingsMessage } from "../messages/types.ts";
import type { BodyCache } from "./body_source.ts";
import type { SettingsKeeper } from "./settings_keeper.ts";

/**
 * Milliseconds by which an offer is delayed for each connection; 600 connections take
 * 30 s.
 */
const OFFER_DELAY_MS_PER_LINK = 50;
/**
 * Maximum number of characters of bodies in one message, well below the maximum frame
 * size.
 */
const MAX_BODIES_LENGTH = 2_000_000;

/** Options of a {@link SettingsExchange}. */
export interface SettingsExchangeOptions {
  readonly keeper: SettingsKeeper;
  readonly bodies: BodyCache;
  readonly peers: PeerBodySource;
}

/** Exchanges settings over all connections of a process. */
export class SettingsExchange {
  readonly #options: SettingsExchangeOptions;
  readonly #links = new Set<Link | undefined>();
  #isOfferScheduled = false;
  #requestedRevision = 0;
  #requestedLink: Link | undefined;

  /** Creates an exchange without connections. */
  constructor(options: SettingsExchangeOptions) {
    this.#options = options;
  }

  /** Adds a new connection and offers the settings in force on it. */
  addLink(link: Link): void {
    this.#links.add(link);
    this.#options.peers.addLink(link);
    this.#offerTo(link);
  }

  /** Removes a connection that was lost. */
  removeLink(link: Link): void {
    this.#links.delete(link);
    this.#options.peers.removeLink(link);
  }

  /**
   * Schedules an offer of the settings in force on every connection. The delay grows
   * with the number of connections, so that several changes share one offer. The delay
   * is harmless: peers store settings for other processes, and a process that needs new
   * settings immediately follows the key-value service.
   */
  offerToAll(): void {
    if (this.#isOfferScheduled) return;
    this.#isOfferScheduled = true;
    const delay = this.#links.size * OFFER_DELAY_MS_PER_LINK;
    setTimeout(() => {
      this.#isOfferScheduled = false;
      for (const link of this.#links) this.#offerTo(link);
    }, delay).unref();
  }

  /** Handles a message about settings. */
  receive(link: Link, message: SettingsMessage): void {
    switch (message.kind) {
      case "settings_offer":
        return this.#onOffer(link, message.revision);
      case "settings_head_request":
        return this.#sendHead(link);
      case "settings_head":
        return void this.#onHead(link, message.head);
      case "settings_fetch":
        return this.#sendBodies(link, message.hashes);
      case "settings_bodies":
        return this.#options.peers.receive(message);
      default:
        assertNever(message);
    }
  }

  /** Requests the head from one of the peers that offer the same revision. */
  #onOffer(link: Link, revision: number): void {
    if (revision <= this.#options.keeper.revision) return;
    if (
      revision <= this.#requestedRevision &&
      this.#links.has(this.#requestedLink)
    ) {
      return;
    }
    this.#requestedRevision = revision;
    this.#requestedLink = link;
    link.send({ kind: "settings_head_request" });
  }

  async #onHead(link: Link, head: string): Promise<void> {
    const outcome = await this.#options.keeper.offer(head);
    // If bodies were unavailable, the next peer that offers the revision is queried.
    if (outcome.kind === "incomplete" && link === this.#requestedLink) {
      this.#requestedRevision = 0;
    }
  }

  #sendHead(link: Link): void {
    const snapshot = this.#options.keeper.snapshot;
    if (snapshot === undefined) return;
    link.send({ kind: "settings_head", head: snapshot.headText });
  }

  #sendBodies(link: Link, hashes: readonly string[]): void {
    const bodies: string[] = [];
    let length = 0;
    for (const hash of hashes) {
      const body = this.#options.bodies.tryGetCached(hash);
      if (body === undefined) continue;
      length += body.length;
      // Bodies that do not fit are omitted; the peer then queries them one by one.
      if (length > MAX_BODIES_LENGTH && bodies.length > 0) break;
      bodies.push(body);
    }
    link.send({ kind: "settings_bodies", asked: hashes, bodies });
  }

  #offerTo(link: Link | undefined): void {
    const snapshot = this.#options.keeper.snapshot;
    if (snapshot === undefined || link === undefined) return;
    link.send({
      kind: "settings_offer",
      revision: snapshot.head.revision,
    });
  }
}
