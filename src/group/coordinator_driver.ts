/**
 * Runs the decider at rank 0: connects to the target of every rank, including its own,
 * and proposes maps from the load that the ranks report.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { match } from "ts-pattern";
import type { EventLog } from "../events/event_log.ts";
import type { Link } from "../links/link.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { Message } from "../messages/types.ts";
import type { RankLoad } from "../messages/group_types.ts";
import {
  REBALANCE_PRESETS,
  Rebalancer,
} from "../policy/placement/rebalancer.ts";
import type { GroupDocument } from "../messages/settings_documents.ts";
import { GroupCoordinator } from "./coordinator.ts";
import type {
  CoordinatorEffect,
  CoordinatorEvent,
} from "./coordinator_types.ts";
import { createFirstMap, type GroupShape, MapPlanner } from "./map_planner.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

const TICK_MS = 50;
const DEFAULT_INTERVAL_MS = 30_000;
const MS_PER_SECOND = 1000;

/** Options of a {@link CoordinatorDriver}. */
export interface CoordinatorDriverOptions {
  readonly identity: LinkIdentity;
  /** Addresses of the targets in front of the ranks, in rank order. */
  readonly memberAddresses: readonly SocketAddress[];
  readonly shape: GroupShape;
  /** Returns the group's settings; undefined while there are none. */
  readonly trySettings: () => GroupDocument | undefined;
  readonly log: EventLog;
}

/** Runs the decider at rank 0. */
export class CoordinatorDriver {
  readonly #options: CoordinatorDriverOptions;
  readonly #coordinator: GroupCoordinator;
  readonly #planner: MapPlanner;
  readonly #clients: readonly LinkClient[];
  readonly #links = new Map<number, Link>();
  #loads: (RankLoad | undefined)[] = [];
  #plannedAt = performance.now();
  readonly #timer: NodeJS.Timeout;

  /** Starts connecting immediately. */
  constructor(options: CoordinatorDriverOptions) {
    this.#options = options;
    this.#planner = new MapPlanner(options.shape);
    this.#coordinator = new GroupCoordinator({
      ranks: options.shape.ranks,
      decider: options.identity.incarnation,
      firstMap: createFirstMap(options.shape),
      firstEpoch: Math.floor(Date.now() / MS_PER_SECOND),
    });
    this.#clients = options.memberAddresses.map((address, rank) =>
      this.#dial(address, rank)
    );
    this.#timer = setInterval(() => this.#onTick(), TICK_MS);
  }

  /** Stops the decider and closes its connections. */
  stop(): void {
    clearInterval(this.#timer);
    for (const client of this.#clients) client.stop();
  }

  #dial(address: SocketAddress, rank: number): LinkClient {
    return new LinkClient({
      address,
      log: this.#options.log,
      role: "target",
      identity: this.#options.identity,
      listener: {
        onConnected: (link) => {
          this.#links.set(rank, link);
          this.#dispatch({
            kind: "member_connected",
            now: performance.now(),
            rank,
          });
        },
        onMessage: (message) => this.#onMessage(rank, message),
        onDisconnected: () => this.#links.delete(rank),
        onDialFailed: () => undefined,
      },
    });
  }

  #onMessage(rank: number, message: Message): void {
    if (message.kind === "rank_load") {
      this.#loads[rank] = message.load;
      return;
    }
    if (message.kind !== "group_report") return;
    this.#dispatch({
      kind: "member_said",
      now: performance.now(),
      rank,
      message: message.report,
    });
  }

  #onTick(): void {
    const now = performance.now();
    this.#dispatch({ kind: "tick", now });
    const settings = this.#options.trySettings();
    const intervalMs = settings?.intervalMs ?? DEFAULT_INTERVAL_MS;
    if (now - this.#plannedAt < intervalMs) return;
    this.#plannedAt = now;
    void this.#plan(settings?.preset ?? "skew");
    for (const link of this.#links.values()) {
      link.send({ kind: "rank_load_request" });
    }
  }

  /** Plans a map from the loads that the ranks reported during the last interval. */
  async #plan(preset: GroupDocument["preset"]): Promise<void> {
    const { ranks } = this.#options.shape;
    const loads = Array.from({ length: ranks }, (_, rank) => this.#loads[rank]);
    this.#loads = [];
    if (loads.every((load) => load === undefined)) return;
    this.#planner.observe(loads);
    if (!this.#coordinator.isIdle) return;
    const rebalancer = new Rebalancer(REBALANCE_PRESETS[preset]);
    const current = this.#coordinator.map;
    const proposal = await this.#planner.tryPlan(current, rebalancer);
    if (proposal === undefined || this.#coordinator.map !== current) return;
    const { map, moves } = proposal;
    this.#options.log.write("MAP_PROPOSED", { moves });
    this.#dispatch({ kind: "map_proposed", now: performance.now(), map });
  }

  #dispatch(event: CoordinatorEvent): void {
    for (const effect of this.#coordinator.reduce(event)) this.#perform(effect);
  }

  #perform(effect: CoordinatorEffect): void {
    match(effect)
      .with(
        { kind: "say" },
        ({ rank, message }) =>
          this.#links.get(rank)?.send({ kind: "group_order", order: message }),
      )
      .with(
        { kind: "switch_decided" },
        ({ version, isCommitted }) =>
          this.#options.log.write("MAP_DECIDED", { version, isCommitted }),
      )
      // The planner proposes a map again in its next interval.
      .with({ kind: "proposal_dropped" }, () => undefined)
      .exhaustive();
  }
}
