/**
 * Runs a target's share of a rank group: the member and, at rank 0, the decider.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { Link } from "../links/link.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { Message } from "../messages/types.ts";
import type { RankEngine } from "../external/rank_engine.ts";
import type { GroupDocument } from "../messages/settings_documents.ts";
import { CoordinatorDriver } from "./coordinator_driver.ts";
import type { GroupShape } from "./map_planner.ts";
import { MemberDriver } from "./member_driver.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Rank of a target's engine and the group that it belongs to. */
export interface GroupRank extends Omit<GroupShape, "ranks"> {
  readonly rank: number;
  /** At rank 0, the addresses of the targets in front of all ranks, in rank order. */
  readonly memberAddresses: readonly SocketAddress[];
}

/** Options of a {@link GroupParticipant}. */
export interface GroupParticipantOptions {
  readonly group: GroupRank;
  readonly identity: LinkIdentity;
  readonly engine: RankEngine;
  readonly trySettings: () => GroupDocument | undefined;
  readonly log: EventLog;
}

/** Runs the member of a target's rank and, at rank 0, the decider of the group. */
export class GroupParticipant {
  readonly #member: MemberDriver;
  readonly #coordinator: CoordinatorDriver | undefined;
  /** Newest connection of rank 0; an older one belongs to an earlier process. */
  #link: Link | undefined;

  /** Starts immediately. */
  constructor(options: GroupParticipantOptions) {
    const { group } = options;
    this.#member = new MemberDriver({
      engine: options.engine,
      log: options.log,
      send: (report) => this.#link?.send({ kind: "group_report", report }),
    });
    if (group.rank !== 0) return;
    this.#coordinator = new CoordinatorDriver({
      ...options,
      memberAddresses: group.memberAddresses,
      shape: { ...group, ranks: group.memberAddresses.length },
    });
  }

  /** Uses a new connection of rank 0 and closes the previous one. */
  addLink(link: Link): void {
    this.#link?.close();
    this.#link = link;
  }

  /** Processes a message of rank 0. */
  receive(link: Link, message: Message): void {
    if (link !== this.#link) return;
    if (message.kind === "group_order") this.#member.receive(message.order);
    if (message.kind === "rank_load_request") void this.#sendLoad(link);
  }

  /** Stops the member and the decider. */
  stop(): void {
    this.#member.stop();
    this.#coordinator?.stop();
  }

  async #sendLoad(link: Link): Promise<void> {
    const load = await this.#member.tryReadLoad();
    if (load !== undefined) link.send({ kind: "rank_load", load });
  }
}
