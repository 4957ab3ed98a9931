/**
 * Settings bodies from other lagoonwharf processes, for when the key-value
 * service does not answer.
 *
 * @module
 */
import { BodySource } from "../settings/body_source.ts";
import { hashOf } from "../settings/tree.ts";
import type { SettingsBodiesMessage } from "../messages/types.ts";
import type { Link } from "./link.ts";

/** Milliseconds that one peer is given to answer. */
const ANSWER_LIMIT_MS = 2000;

interface Question {
  readonly resolve: (body: string | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** Asks connected processes for bodies, one after the other. */
export class PeerBodySource extends BodySource {
  readonly #links = new Set<Link>();
  readonly #questions = new Map<string, Set<Question>>();

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
      const body = await this.#ask(link, hash);
      if (body !== undefined) return body;
    }
    return undefined;
  }

  /** Takes in an answer. */
  receive(message: SettingsBodiesMessage): void {
    const bodies = new Map(message.bodies.map((body) => [hashOf(body), body]));
    for (const hash of message.asked) this.#settle(hash, bodies.get(hash));
  }

  #ask(link: Link, hash: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#settle(hash, undefined),
        ANSWER_LIMIT_MS,
      );
      const questions = this.#questions.get(hash) ?? new Set();
      questions.add({ resolve, timer });
      this.#questions.set(hash, questions);
      link.send({ kind: "settings_fetch", hashes: [hash] });
    });
  }

  #settle(hash: string, body: string | undefined): void {
    const questions = this.#questions.get(hash);
    this.#questions.delete(hash);
    for (const question of questions ?? []) {
      clearTimeout(question.timer);
      question.resolve(body);
    }
  }
}
