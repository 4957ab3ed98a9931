/**
 * Connects a decider to the ranks of a group: by links to the sidecars of their engines,
 * and directly to an engine whose sidecar does not answer.
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
import { logEngineFault } from "./engine_faults.ts";
import { sendUntilAnswered } from "./send_until_answered.ts";
import { MapEncoder } from "./map_changes.ts";
import { RankAgent, REMOTE_ENGINE_POLLING } from "./rank_agent.ts";
import type {
  RankOrderMessage,
  RankReportMessage,
  RankState,
} from "../../messages/formed_group_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/** Addresses of one rank's sidecar and engine. */
export interface GroupMemberAddress {
  readonly rank: number;
  /** Address of the sidecar. */
  readonly address: SocketAddress;
  readonly engineAddress: SocketAddress;
}

/** Known state of a rank and of the link to its sidecar. */
export class RankMember {
  readonly engineAddress: SocketAddress;
  /** Number of the rank: as registered until the rank itself reports it. */
  rank: number;
  link: Link | undefined;
  /** Encodes the maps that are sent on this link. */
  mapEncoder = new MapEncoder();
  state: RankState | undefined;
  /** Time at which the state was received, in milliseconds. */
  stateReceivedAt = Number.NEGATIVE_INFINITY;
  /** Serial number of the last counts that were received. */
  knownCounts: number | undefined;
  /** Number of the last order that was sent directly to the engine. */
  lastDirectOrderId: number | undefined;

  /** Starts without any received state. */
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
  /** Creates a client of an engine on another VM. */
  readonly createEngine: (address: SocketAddress) => FormedEngine;
  /** Called for each report of a rank's sidecar or engine. */
  readonly onReport: (member: RankMember, report: RankReportMessage) => void;
}

interface DialledMember {
  readonly member: RankMember;
  readonly client: LinkClient;
}

/** Connects a decider to the ranks of a group. */
export class RankLinks {
  readonly #options: RankLinksOptions;
  readonly #dialled = new Map<SocketAddress, DialledMember>();
  readonly #engines = new Map<string, FormedEngine>();
  /** Agents that execute orders directly at engines, by the engine's address. */
  readonly #remoteAgents = new Map<string, RankAgent>();

  /** Starts without members, which are set by {@link setMembers}. */
  constructor(options: RankLinksOptions) {
    this.#options = options;
  }

  /** All known ranks. */
  get members(): readonly RankMember[] {
    return [...this.#dialled.values()].map(({ member }) => member);
  }

  /**
   * Returns a rank if it is known. An engine may have two registrations, one of them of a
   * process that has ended.
   */
  tryGetMember(rank: number): RankMember | undefined {
    const members = this.members.filter((member) => member.rank === rank);
    return members.find(({ link }) => link !== undefined) ?? members.at(-1);
  }

  /** Closes all links. */
  stop(): void {
    for (const { client } of this.#dialled.values()) client.stop();
    this.#dialled.clear();
  }

  /** Sets the processes of the group's ranks, including this one. */
  setMembers(addresses: readonly GroupMemberAddress[]): void {
    for (const address of addresses) {
      if (!this.#dialled.has(address.address)) this.#dial(address);
    }
    const listed = new Set(addresses.map(({ address }) => address));
    for (const [address, { client, member }] of this.#dialled) {
      // A registration may expire while the store is unreachable and its process runs on.
      if (listed.has(address) || member.link !== undefined) continue;
      client.stop();
      this.#dialled.delete(address);
    }
  }

  /** Forwards a report of another rank to a rank's sidecar. */
  forwardReport(rank: number, report: RankReportMessage): void {
    this.tryGetMember(rank)?.link?.send(report);
  }

  /**
   * Sends an order to the sidecar of a rank's engine, which executes it at no cost. If
   * the sidecar is disconnected or has not answered, the order also goes directly to the
   * engine: the engine keeps running while its sidecar restarts, and a switch needs
   * every rank. This does not help if the VM is frozen, because its engine cannot be
   * reached then either.
   */
  sendOrder(effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    const member = this.tryGetMember(rank);
    const message: RankOrderMessage = { kind: "rank_order", orderId, order };
    if (member?.link !== undefined) {
      member.link.send(member.mapEncoder.encode(message));
    }
    this.#sendDirectlyIfUnanswered(member, effect);
  }

  /**
   * Sends an order directly to a rank's engine and has its effect checked by the sidecar,
   * because an engine reports its state to other VMs with a delay.
   */
  sendOrderToEngine(effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    const member = this.tryGetMember(rank);
    const { link } = member ?? {};
    if (member !== undefined && link !== undefined && order.kind !== "fence") {
      void sendUntilAnswered(this.#getEngine(member.engineAddress), order)
        // The sidecar determines the effect, whatever the engine answered.
        .then(() => link.send({ kind: "rank_check", orderId, order }));
    }
    this.#sendDirectlyIfUnanswered(member, effect);
  }

  #sendDirectlyIfUnanswered(
    member: RankMember | undefined,
    effect: SendOrder,
  ): void {
    const isNeeded = member?.link === undefined || effect.isRepeated;
    if (member !== undefined && isNeeded) this.#sendDirectly(member, effect);
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
      .execute({ kind: "rank_order", orderId, order }, (report) => {
        onReport(member, report);
      })
      .catch((error) => logEngineFault(log, error, { rank }));
  }

  #getRemoteAgent(address: SocketAddress): RankAgent {
    let agent = this.#remoteAgents.get(address);
    if (agent === undefined) {
      agent = new RankAgent(this.#getEngine(address), REMOTE_ENGINE_POLLING);
      this.#remoteAgents.set(address, agent);
    }
    return agent;
  }

  #getEngine(address: SocketAddress): FormedEngine {
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
      log,
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
