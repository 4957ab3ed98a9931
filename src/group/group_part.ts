/**
 * A target's part in a rank group: the member, and at rank 0 the decider.
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

/** The rank that a target's engine is, and the group that it belongs to. */
export interface GroupRank extends Omit<GroupShape, "ranks"> {
  readonly rank: number;
  /** At rank 0: the targets before all ranks, in their order. */
  readonly memberAddresses: readonly string[];
}

/** Options of a {@link GroupPart}. */
export interface GroupParticipantOptions {
  readonly group: GroupRank;
  readonly identity: LinkIdentity;
  readonly engine: RankEngine;
  readonly trySettings: () => GroupDocument | undefined;
  readonly log: EventLog;
}

/** A target's part in a rank group. */
export class GroupPart {
  readonly #member: MemberDriver;
  readonly #coordinator: CoordinatorDriver | undefined;
  /** The newest connection of rank 0; an older one is another process's. */
  #link: Link | undefined;

  /** Begins at once. */
  constructor(options: GroupParticipantOptions) {
    const { group } = options;
    this.#member = new MemberDriver({
      engine: options.engine,
      send: (report) => this.#link?.send({ kind: "group_report", report }),
    });
    if (group.rank !== 0) return;
    this.#coordinator = new CoordinatorDriver({
      ...options,
      memberAddresses: group.memberAddresses,
      shape: { ...group, ranks: group.memberAddresses.length },
    });
  }

  /** Rank 0 connected. */
  addLink(link: Link): void {
    this.#link?.close();
    this.#link = link;
  }

  /** Takes in a message of rank 0. */
  receive(link: Link, message: Message): void {
    if (link !== this.#link) return;
    if (message.kind === "group_order") this.#member.receive(message.order);
    if (message.kind === "rank_load_request") void this.#sendLoad(link);
  }

  /** Takes part no more. */
  stop(): void {
    this.#member.stop();
    this.#coordinator?.stop();
  }

  async #sendLoad(link: Link): Promise<void> {
    const load = await this.#member.tryReadLoad();
    if (load !== undefined) link.send({ kind: "rank_load", load });
  }
}
