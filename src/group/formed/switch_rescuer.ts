/**
 * Beside the rank that holds passes: ends a hold whose decider stands still while
 * the group waits.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../../events/event_log.ts";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import { planRescue, type RankWord, type RescueOrder } from "./rescue.ts";
import type {
  PassOfEpoch,
  RankQueryMessage,
  RankReportMessage,
  RankState,
} from "./types.ts";

/**
 * Milliseconds of a hold after which the other ranks are asked. A decider ends
 * one within 30, unless an order has to be given again.
 */
const SUSPICIOUS_MS = 250;
/** Milliseconds in which the other ranks must answer. */
const ANSWER_MS = 120;
/** Orders of rescuers are numbered from here, apart from those of deciders. */
const FIRST_ORDER_ID = 2 ** 40;

/** Options of a {@link SwitchRescuer}. */
export interface SwitchRescuerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
}

interface Member {
  readonly client: LinkClient;
  link: Link | undefined;
  rank: number | undefined;
}

/** Ends a hold whose decider stands still. */
export class SwitchRescuer {
  readonly #options: SwitchRescuerOptions;
  #addresses: readonly string[] = [];
  readonly #members = new Map<string, Member>();
  readonly #words = new Map<number, RankWord>();
  #held: PassOfEpoch | undefined;
  #heldSince = 0;
  #isBusy = false;
  #nextOrderId = FIRST_ORDER_ID;

  /** Knows no other ranks yet. */
  constructor(options: SwitchRescuerOptions) {
    this.#options = options;
  }

  /** Addresses of the processes of all ranks, this one included. */
  setAddresses(addresses: readonly string[]): void {
    this.#addresses = addresses;
  }

  /** Asks nobody any more. */
  stop(): void {
    for (const { client } of this.#members.values()) client.stop();
    this.#members.clear();
  }

  /** Takes in how the holder's own engine stands. */
  observe(state: RankState, now: number): void {
    const { epoch, heldPass } = state;
    const isSame = heldPass !== undefined && this.#held?.epoch === epoch &&
      this.#held.pass === heldPass;
    if (!isSame) this.#heldSince = now;
    this.#held = heldPass === undefined ? undefined : { epoch, pass: heldPass };
    if (this.#held === undefined) return this.stop();
    const heldMs = now - this.#heldSince;
    if (heldMs < SUSPICIOUS_MS || this.#isBusy) return;
    this.#isBusy = true;
    void this.#rescue(state.ranks, heldMs)
      .finally(() => this.#isBusy = false);
  }

  async #rescue(ranks: number, heldMs: number): Promise<void> {
    this.#dialAll();
    await this.#ask(undefined);
    const plan = planRescue([...this.#words.values()], ranks);
    if (plan.kind === "wait") return;
    if (plan.kind === "orders") return this.#give(plan.orders, heldMs);
    await this.#ask(plan.refuse);
    const last = planRescue([...this.#words.values()], ranks);
    if (last.kind === "orders") this.#give(last.orders, heldMs);
  }

  /** Asks every rank, and gives each so long to answer. */
  async #ask(refuse: PassOfEpoch | undefined): Promise<void> {
    this.#words.clear();
    const query: RankQueryMessage = {
      kind: "rank_query",
      withExperts: false,
      refuse,
    };
    for (const { link } of this.#members.values()) link?.send(query);
    await sleep(ANSWER_MS);
  }

  #give(orders: readonly RescueOrder[], heldMs: number): void {
    this.#options.log.write("SWITCH_RESCUED", {
      heldMs: Math.round(heldMs),
      order: orders[0]?.order.kind,
      ranks: orders.map(({ rank }) => rank).join(" "),
      heard: this.#words.size,
    });
    for (const { rank, order } of orders) {
      const orderId = this.#nextOrderId++;
      this.#linkOf(rank)?.send({ kind: "rank_order", orderId, order });
    }
  }

  #dialAll(): void {
    for (const address of this.#addresses) {
      if (!this.#members.has(address)) this.#dial(address);
    }
  }

  #dial(address: string): void {
    const { identity, log } = this.#options;
    const member: Member = {
      link: undefined,
      rank: undefined,
      client: new LinkClient({
        address,
        role: "decider",
        identity,
        listener: {
          onConnected: (link) => {
            member.link = link;
            link.send({ kind: "rank_query", withExperts: false });
          },
          onMessage: (message) => {
            if (message.kind === "rank_report") this.#hear(member, message);
          },
          onDisconnected: () => member.link = undefined,
          onDialFailed: (fault) => log.write("LINK_FAULT", { address, fault }),
        },
      }),
    };
    this.#members.set(address, member);
  }

  #hear(member: Member, report: RankReportMessage): void {
    const { state, orderedPass, refusedPass } = report;
    member.rank = state.rank;
    // An answer to an order says nothing of promises.
    if (report.orderId !== undefined) return;
    this.#words.set(state.rank, { state, orderedPass, refusedPass });
  }

  #linkOf(rank: number): Link | undefined {
    for (const member of this.#members.values()) {
      if (member.rank === rank) return member.link;
    }
    return undefined;
  }
}
