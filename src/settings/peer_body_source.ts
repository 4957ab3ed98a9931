/**
 * Reads settings bodies from other lagoonwharf processes: if the key-value service does
 * not answer, and to reduce its load when a process starts.
 *
 * @module
 */
import { BodySource } from "./body_source.ts";
import { hashText } from "./tree.ts";
import type { SettingsBodiesMessage } from "../messages/types.ts";
import type { Link } from "../links/link.ts";

/** Milliseconds within which a peer must answer. */
const ANSWER_TIMEOUT_MS = 2000;
/**
 * Maximum number of peers that are queried for the same bodies, one after the other.
 */
const MAX_BULK_PEERS = 2;

interface PendingQuery {
  readonly hashes: readonly string[];
  readonly resolve: (bodies: readonly string[]) => void;
  readonly timer: NodeJS.Timeout;
}

/** Queries connected processes for bodies. */
export class PeerBodySource extends BodySource {
  readonly #links = new Set<Link>();
  readonly #pendingQueries = new Map<string, PendingQuery>();

  /** Adds a connected process to query. */
  addLink(link: Link): void {
    this.#links.add(link);
  }

  /** Removes a process whose connection was lost. */
  removeLink(link: Link): void {
    this.#links.delete(link);
  }

  override async tryRead(hash: string): Promise<string | undefined> {
    for (const link of [...this.#links]) {
      const bodies = await this.#query(link, [hash]);
      const body = bodies.find((one) => hashText(one) === hash);
      if (body !== undefined) return body;
    }
    return undefined;
  }

  override async readMany(
    hashes: readonly string[],
  ): Promise<readonly string[]> {
    for (const link of [...this.#links].slice(0, MAX_BULK_PEERS)) {
      const bodies = await this.#query(link, hashes);
      if (bodies.length > 0) return bodies;
    }
    return [];
  }

  /** Handles the answer to a query. */
  receive(message: SettingsBodiesMessage): void {
    this.#resolveQuery(message.asked, message.bodies);
  }

  #query(link: Link, hashes: readonly string[]): Promise<readonly string[]> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#resolveQuery(hashes, []),
        ANSWER_TIMEOUT_MS,
      );
      // A query for the same hashes replaces one that is still pending.
      this.#resolveQuery(hashes, []);
      this.#pendingQueries.set(createQueryKey(hashes), {
        hashes,
        resolve,
        timer,
      });
      link.send({ kind: "settings_fetch", hashes });
    });
  }

  #resolveQuery(hashes: readonly string[], bodies: readonly string[]): void {
    const query = this.#pendingQueries.get(createQueryKey(hashes));
    if (query === undefined) return;
    this.#pendingQueries.delete(createQueryKey(hashes));
    clearTimeout(query.timer);
    query.resolve(bodies);
  }
}

/**
 * Creates a key from the count and the first and last hash, which in practice identify
 * a list of hashes.
 */
function createQueryKey(hashes: readonly string[]): string {
  return `${hashes.length} ${hashes[0]} ${hashes.at(-1)}`;
}
