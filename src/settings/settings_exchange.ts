/**
 * The settings part of a connection between two of our processes: offers what
 * is in force, takes newer offers, and answers questions for bodies.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type { Link } from "../links/link.ts";
import type { PeerBodySource } from "./peer_body_source.ts";
import type { SettingsMessage } from "../messages/types.ts";
import type { BodyCache } from "./body_source.ts";
import type { SettingsKeeper } from "./settings_keeper.ts";

/** Milliseconds that an offer waits for each connection: 600 in 30 s. */
const OFFER_PAUSE_MS_PER_LINK = 50;
/** Characters of bodies in one answer, well below the largest frame. */
const MAX_ANSWER_LENGTH = 2_000_000;

/** The parts that an exchange works with. */
export interface SettingsExchangeParts {
  readonly keeper: SettingsKeeper;
  readonly bodies: BodyCache;
  readonly peers: PeerBodySource;
}

/** Exchanges settings over all connections of a process. */
export class SettingsExchange {
  readonly #parts: SettingsExchangeParts;
  readonly #links = new Set<Link | undefined>();
  #isOfferPlanned = false;
  #askedRevision = 0;
  #askedLink: Link | undefined;

  /** Begins without connections. */
  constructor(parts: SettingsExchangeParts) {
    this.#parts = parts;
  }

  /** A connection was opened: offers what is in force. */
  addLink(link: Link): void {
    this.#links.add(link);
    this.#parts.peers.addLink(link);
    this.#offerTo(link);
  }

  /** A connection was lost. */
  removeLink(link: Link): void {
    this.#links.delete(link);
    this.#parts.peers.removeLink(link);
  }

  /**
   * Offers what is in force on every connection, soon. The more connections
   * there are, the more changes share one offer: peers keep settings for others,
   * and who needs them now follows the key-value service.
   */
  offerToAll(): void {
    if (this.#isOfferPlanned) return;
    this.#isOfferPlanned = true;
    const pause = this.#links.size * OFFER_PAUSE_MS_PER_LINK;
    setTimeout(() => {
      this.#isOfferPlanned = false;
      for (const link of this.#links) this.#offerTo(link);
    }, pause).unref();
  }

  /** Takes in a message about settings. */
  receive(link: Link, message: SettingsMessage): void {
    switch (message.kind) {
      case "settings_offer":
        return this.#offered(link, message.revision);
      case "settings_head_request":
        return this.#sendHead(link);
      case "settings_head":
        return void this.#takeHead(link, message.head);
      case "settings_fetch":
        return this.#answer(link, message.hashes);
      case "settings_bodies":
        return this.#parts.peers.receive(message);
      default:
        assertNever(message);
    }
  }

  /** Many peers offer the same; one of them is asked. */
  #offered(link: Link, revision: number): void {
    if (revision <= this.#parts.keeper.revision) return;
    if (revision <= this.#askedRevision && this.#links.has(this.#askedLink)) {
      return;
    }
    this.#askedRevision = revision;
    this.#askedLink = link;
    link.send({ kind: "settings_head_request" });
  }

  async #takeHead(link: Link, head: string): Promise<void> {
    const outcome = await this.#parts.keeper.offer(head);
    // What could not be had from here may be had from the next who offers.
    if (outcome.kind === "incomplete" && link === this.#askedLink) {
      this.#askedRevision = 0;
    }
  }

  #sendHead(link: Link): void {
    const snapshot = this.#parts.keeper.snapshot;
    if (snapshot === undefined) return;
    link.send({ kind: "settings_head", head: snapshot.headText });
  }

  #answer(link: Link, hashes: readonly string[]): void {
    const bodies: string[] = [];
    let length = 0;
    for (const hash of hashes) {
      const body = this.#parts.bodies.tryHeld(hash);
      if (body === undefined) continue;
      length += body.length;
      // What does not fit is asked for again, one by one.
      if (length > MAX_ANSWER_LENGTH && bodies.length > 0) break;
      bodies.push(body);
    }
    link.send({ kind: "settings_bodies", asked: hashes, bodies });
  }

  #offerTo(link: Link | undefined): void {
    const snapshot = this.#parts.keeper.snapshot;
    if (snapshot === undefined || link === undefined) return;
    link.send({
      kind: "settings_offer",
      revision: snapshot.head.revision,
    });
  }
}
