/**
 * Ways to the ranks of a group: links to the processes beside their engines, and where
 * such a process does not answer, to the engine itself.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../../events/event_log.ts";
import type { FormedEngine } from "../../external/formed_engine.ts";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type { Message } from "../../messages/types.ts";
import type { SendOrder } from "./decider_types.ts";
import { sendUntilAnswered } from "./give_until_answered.ts";
import { MapEncoder } from "./map_changes.ts";
import { RankAgent, REMOTE_ENGINE_POLLING } from "./rank_agent.ts";
import type {
  RankOrderMessage,
  RankReportMessage,
  RankState,
} from "../../messages/formed_group_types.ts";

/** The process of one rank. */
export interface GroupMemberAddress {
  readonly rank: number;
  /** Where the process is. */
  readonly address: string;
  readonly engineAddress: string;
}

/** A rank, as far as it is known here. */
export class RankMember {
  readonly engineAddress: string;
  /** As registered, until the rank itself tells. */
  rank: number;
  link: Link | undefined;
  /** What the process was sent of maps on this link. */
  mapEncoder = new MapEncoder();
  state: RankState | undefined;
  /** When that state was told, in milliseconds. */
  stateReceivedAt = Number.NEGATIVE_INFINITY;
  /** Number of the last counts that it told. */
  knownCounts: number | undefined;
  /** The last order that was given to its engine from here. */
  lastDirectOrderId: number | undefined;

  /** Nothing was heard of it yet. */
  constructor({ rank, engineAddress }: GroupMemberAddress) {
    this.rank = rank;
    this.engineAddress = engineAddress;
  }
}

/** Options of {@link RankLinks}. */
export interface RankLinksOptions {
  readonly identity: LinkIdentity;
  readonly group: string;
  readonly log: EventLog;
  /** Makes the way to the engine of another machine. */
  readonly createEngine: (address: string) => FormedEngine;
  /** A rank's process, or its engine, told something. */
  readonly onReport: (member: RankMember, report: RankReportMessage) => void;
}

interface DialledMember {
  readonly member: RankMember;
  readonly client: LinkClient;
}

/** Ways to the ranks of a group. */
export class RankLinks {
  readonly #options: RankLinksOptions;
  readonly #dialled = new Map<string, DialledMember>();
  readonly #engines = new Map<string, FormedEngine>();
  /** Those who speak with engines from here, by the engine's address. */
  readonly #remoteAgents = new Map<string, RankAgent>();

  /** Members are told by {@link setMembers}. */
  constructor(options: RankLinksOptions) {
    this.#options = options;
  }

  /** All ranks that are known. */
  get members(): readonly RankMember[] {
    return [...this.#dialled.values()].map(({ member }) => member);
  }

  /**
   * The rank, if it is known. An engine may have two entries, of which one process has
   * ended.
   */
  tryMember(rank: number): RankMember | undefined {
    const members = this.members.filter((member) => member.rank === rank);
    return members.find(({ link }) => link !== undefined) ?? members.at(-1);
  }

  /** Closes all links. */
  stop(): void {
    for (const { client } of this.#dialled.values()) client.stop();
    this.#dialled.clear();
  }

  /** The processes of the group's ranks, this one included. */
  setMembers(addresses: readonly GroupMemberAddress[]): void {
    for (const address of addresses) {
      if (!this.#dialled.has(address.address)) this.#dial(address);
    }
    const listed = new Set(addresses.map(({ address }) => address));
    for (const [address, { client, member }] of this.#dialled) {
      // An entry may lapse while the store is away and its process lives on.
      if (listed.has(address) || member.link !== undefined) continue;
      client.stop();
      this.#dialled.delete(address);
    }
  }

  /** Tells a rank's process how another rank's engine stands. */
  forwardReport(rank: number, report: RankReportMessage): void {
    this.tryMember(rank)?.link?.send(report);
  }

  /**
   * Sends an order to the process beside a rank's engine, which gives it at no cost. One
   * that does not answer is not waited for: while it is restarted its engine runs on, and
   * the group needs every rank for a switch. (A machine that stands still takes its
   * engine's interface with it; then this helps no more than waiting.)
   */
  sendOrder(effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    const member = this.tryMember(rank);
    const message: RankOrderMessage = { kind: "rank_order", orderId, order };
    if (member?.link !== undefined) {
      member.link.send(member.mapEncoder.encode(message));
    }
    this.#sendDirectlyIfUnanswered(member, effect);
  }

  /**
   * Gives an order to a rank's engine from this machine and has it checked by the
   * process beside it: what an engine tells other machines is old.
   */
  sendOrderToEngine(effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    const member = this.tryMember(rank);
    const { link } = member ?? {};
    if (member !== undefined && link !== undefined && order.kind !== "fence") {
      void sendUntilAnswered(this.#getEngine(member.engineAddress), order)
        // Whatever the answer, the process there knows what became of it.
        .then(() => link.send({ kind: "rank_check", orderId, order }));
    }
    this.#sendDirectlyIfUnanswered(member, effect);
  }

  #sendDirectlyIfUnanswered(
    member: RankMember | undefined,
    effect: SendOrder,
  ): void {
    const isSilent = member?.link === undefined || effect.isRepeated;
    if (member !== undefined && isSilent) this.#sendDirectly(member, effect);
  }

  #sendDirectly(member: RankMember, effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    const { log, onReport } = this.#options;
    if (member.lastDirectOrderId !== orderId) {
      log.write("REMOTE_ORDER", {
        rank,
        order: order.kind,
        isConnected: member.link !== undefined,
      });
    }
    member.lastDirectOrderId = orderId;
    this.#getRemoteAgent(member.engineAddress)
      .carryOut({ kind: "rank_order", orderId, order }, (report) => {
        onReport(member, report);
      })
      .catch((error) => {
        log.write("ENGINE_UNREACHABLE", { rank, cause: String(error) });
      });
  }

  #getRemoteAgent(address: string): RankAgent {
    let agent = this.#remoteAgents.get(address);
    if (agent === undefined) {
      agent = new RankAgent(this.#getEngine(address), REMOTE_ENGINE_POLLING);
      this.#remoteAgents.set(address, agent);
    }
    return agent;
  }

  #getEngine(address: string): FormedEngine {
    let engine = this.#engines.get(address);
    if (engine === undefined) {
      engine = this.#options.createEngine(address);
      this.#engines.set(address, engine);
    }
    return engine;
  }

  #dial(address: GroupMemberAddress): void {
    const { identity, log } = this.#options;
    const member = new RankMember(address);
    const client = new LinkClient({
      address: address.address,
      role: "decider",
      identity,
      listener: {
        onConnected: (link) => {
          member.link = link;
          member.mapEncoder = new MapEncoder();
        },
        onMessage: (message) => this.#onMessage(member, message),
        onDisconnected: () => {
          member.link = undefined;
          member.knownCounts = undefined;
        },
        onDialFailed: (fault) => {
          log.write("LINK_FAULT", { address: address.address, fault });
        },
      },
    });
    this.#dialled.set(address.address, { member, client });
  }

  #onMessage(member: RankMember, message: Message): void {
    if (message.kind !== "rank_report") return;
    if (message.state.group !== this.#options.group) return;
    member.rank = message.state.rank;
    member.state = message.state;
    member.stateReceivedAt = performance.now();
    this.#options.onReport(member, message);
  }
}
