/**
 * Settings bodies from other lagoonwharf processes: when the key-value service
 * does not answer, and to spare it when a process starts.
 *
 * @module
 */
import { BodySource } from "./body_source.ts";
import { hashOf } from "./tree.ts";
import type { SettingsBodiesMessage } from "../messages/types.ts";
import type { Link } from "../links/link.ts";

/** Milliseconds that one peer is given to answer. */
const ANSWER_LIMIT_MS = 2000;
/** Peers that are asked for the same bodies, one after the other. */
const PEERS_ASKED = 2;

interface Question {
  readonly hashes: readonly string[];
  readonly resolve: (bodies: readonly string[]) => void;
  readonly timer: NodeJS.Timeout;
}

/** Asks connected processes for bodies. */
export class PeerBodySource extends BodySource {
  readonly #links = new Set<Link>();
  readonly #questions = new Map<string, Question>();

  /** Asks this process too from now on. */
  addLink(link: Link): void {
    this.#links.add(link);
  }

  /** The connection was lost. */
  removeLink(link: Link): void {
    this.#links.delete(link);
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    for (const link of [...this.#links]) {
      const bodies = await this.#ask(link, [hash]);
      const body = bodies.find((one) => hashOf(one) === hash);
      if (body !== undefined) return body;
    }
    return undefined;
  }

  override async readMany(
    hashes: readonly string[],
  ): Promise<readonly string[]> {
    for (const link of [...this.#links].slice(0, PEERS_ASKED)) {
      const bodies = await this.#ask(link, hashes);
      if (bodies.length > 0) return bodies;
    }
    return [];
  }

  /** Takes in an answer. */
  receive(message: SettingsBodiesMessage): void {
    this.#settle(message.asked, message.bodies);
  }

  #ask(link: Link, hashes: readonly string[]): Promise<readonly string[]> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#settle(hashes, []),
        ANSWER_LIMIT_MS,
      );
      // Who asks the same in the meantime takes the place of who asked before.
      this.#settle(hashes, []);
      this.#questions.set(keyOf(hashes), { hashes, resolve, timer });
      link.send({ kind: "settings_fetch", hashes });
    });
  }

  #settle(hashes: readonly string[], bodies: readonly string[]): void {
    const question = this.#questions.get(keyOf(hashes));
    if (question === undefined) return;
    this.#questions.delete(keyOf(hashes));
    clearTimeout(question.timer);
    question.resolve(bodies);
  }
}

/** Hashes say what they stand for, so two of them tell one list from another. */
function keyOf(hashes: readonly string[]): string {
  return `${hashes.length} ${hashes[0]} ${hashes.at(-1)}`;
}
