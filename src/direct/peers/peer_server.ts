/**
 * Answers other entries: their queries for what this one knows from the store, and their
 * requests for permits.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../../events/event_log.ts";
import type { Link } from "../../links/link.ts";
import {
  LINK_LISTENER_OPTIONS,
  type LinkIdentity,
  LinkServer,
} from "../../links/link_server.ts";
import { HttpListener } from "../../process/http_listener.ts";
import type { PermitResponse } from "../../policy/send_permits.ts";
import type { ReplicatedState } from "./replicated_state.ts";
import type { SendPermitQueryMessage } from "../../messages/peer_types.ts";
import { FollowerUpdates } from "./follower_updates.ts";
import type { KnownStoreState } from "./store_update.ts";

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly getStoreState: () => KnownStoreState;
  readonly replicatedState: ReplicatedState;
  /** Issues permits for a target that has a limit. */
  readonly issuePermits: (target: string, count: number) => PermitResponse;
}

/** Answers the queries of other entries. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #listener = new HttpListener(undefined, LINK_LISTENER_OPTIONS);
  readonly #updates: FollowerUpdates;

  /** Does not listen yet. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#updates = new FollowerUpdates({
      ...options,
      getTime: () => performance.now(),
    });
    new LinkServer(this.#listener.server, {
      identity: options.identity,
      welcome: { pool: "entries", concurrency: 0 },
      log: options.log,
      listener: {
        onPeer: (link) => {
          this.#updates.add(link);
          return {
            onMessage: (message) => {
              if (message.kind === "store_news_query") {
                this.#updates.answer(link, message);
              }
              if (message.kind === "send_permit_query") {
                this.#issuePermits(link, message);
              }
            },
            onClose: () => this.#updates.remove(link),
          };
        },
        onRejected: (fault) => {
          if (fault !== undefined) {
            options.log.write("PEER_REJECTED", { fault });
          }
        },
      },
    });
  }

  /**
   * Listens on `address`.
   *
   * @throws when the address is not available
   */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Closes all connections. */
  close(): void {
    this.#listener.close();
  }

  /** Sends each follower the changes that it does not know yet. */
  updateFollowers(): void {
    this.#updates.send();
  }

  #issuePermits(
    link: Link,
    { queryId, target, count }: SendPermitQueryMessage,
  ): void {
    const answer = this.#options.issuePermits(target, count);
    link.send({ kind: "send_permits", queryId, ...answer });
  }
}
