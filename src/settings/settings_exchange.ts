/**
 * The settings part of a connection between two of our processes: offers what
 * is in force, takes newer offers, and answers questions for bodies.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type { Link } from "../links/link.ts";
import type { PeerBodySource } from "../links/peer_body_source.ts";
import type { SettingsMessage } from "../messages/types.ts";
import type { BodyCache } from "./body_source.ts";
import type { SettingsKeeper } from "./settings_keeper.ts";

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
  readonly #links = new Set<Link>();

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

  /** Offers what is in force on every connection. */
  offerToAll(): void {
    for (const link of this.#links) this.#offerTo(link);
  }

  /** Takes in a message about settings. */
  receive(link: Link, message: SettingsMessage): void {
    switch (message.kind) {
      case "settings_offer":
        void this.#parts.keeper.offer(message.head);
        return;
      case "settings_fetch":
        return this.#answer(link, message.hashes);
      case "settings_bodies":
        return this.#parts.peers.receive(message);
      default:
        assertNever(message);
    }
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

  #offerTo(link: Link): void {
    const snapshot = this.#parts.keeper.snapshot;
    if (snapshot === undefined) return;
    link.send({
      kind: "settings_offer",
      revision: snapshot.head.revision,
      head: snapshot.headText,
    });
  }
}
