/**
 * Runs the decider of a formed group: communicates with the sidecars of all ranks and
 * proposes maps from the counts of their engines.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { match } from "ts-pattern";
import type { RandomSource } from "../../core/random_source.ts";
import type { EventLog } from "../../events/event_log.ts";
import type { FormedEngine } from "../../external/formed_engine.ts";
import type { GroupSettings } from "../../external/operator_settings.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import { tryPlanIncrement } from "../../policy/placement/incremental_planner.ts";
import { BaseMapPacer } from "./base_map_pacer.ts";
import { getMaxCopiesPerRank } from "./copies_per_rank.ts";
import { FormedGroupDecider } from "./decider.ts";
import type {
  DeciderEffect,
  DeciderEvent,
  SendOrder,
} from "./decider_types.ts";
import { Popularity } from "./popularity.ts";
import {
  type GroupMemberAddress,
  RankLinks,
  type RankMember,
} from "./rank_links.ts";
import { RankQueries, type RankQuery } from "./rank_queries.ts";
import {
  getHolderRank,
  type GroupLoad,
  type RankReportMessage,
  type RankState,
} from "../../messages/formed_group_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

const TICK_MS = 25;
/**
 * Milliseconds from a plan that found no worthwhile copy until the next plan, unless
 * popularity changes. A plan takes about 20 ms of processor time on a small VM.
 */
const IDLE_PLAN_INTERVAL_MS = 400;
/** Milliseconds between two reports of the group's load to entries. */
const LOAD_INTERVAL_MS = 200;
/** Milliseconds between two log records of the group's work. */
const WORK_LOG_INTERVAL_MS = 1000;
/** Exclusive upper limit of the random number of a decider's first order. */
const MAX_FIRST_ORDER_ID = 2 ** 31;

/** Options of a {@link DeciderDriver}. */
export interface DeciderDriverOptions {
  readonly identity: LinkIdentity;
  /** State of rank 0 when the decider starts. */
  readonly state: RankState;
  readonly trySettings: () => GroupSettings | undefined;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Called periodically with the load that the ranks last reported. */
  readonly onLoad: (load: GroupLoad) => void;
  readonly pool: string;
  /** Capacity of this VM's link in each direction, in bytes per second. */
  readonly linkBytesPerSecond: number;
  /** Creates a client of an engine on another VM. */
  readonly createEngine: (address: SocketAddress) => FormedEngine;
}

/** Runs the decider of a formed group. */
export class DeciderDriver {
  readonly #options: DeciderDriverOptions;
  readonly #decider: FormedGroupDecider;
  readonly #popularity = new Popularity();
  readonly #links: RankLinks;
  readonly #queries: RankQueries;
  readonly #baseMapPacer: BaseMapPacer;
  /** Ranks that sent counts since the last plan or the last switch of the map. */
  readonly #countedRanks = new Set<number>();
  readonly #timer: NodeJS.Timeout;
  #loadSentAt = 0;
  /** Time of the last plan without a worthwhile copy, and the changes counted by then. */
  #lastEmptyPlan = { at: Number.NEGATIVE_INFINITY, changes: 0 };
  #workLoggedAt = 0;
  #lastLoggedPass = 0;
  #epoch: number;

  /** Starts immediately; the ranks are set by {@link setMembers}. */
  constructor(options: DeciderDriverOptions) {
    this.#options = options;
    this.#epoch = options.state.epoch;
    this.#decider = new FormedGroupDecider({
      state: options.state,
      random: options.random,
      now: performance.now(),
      firstOrderId: options.random.nextBelow(MAX_FIRST_ORDER_ID),
    });
    const { identity, log, createEngine, state } = options;
    this.#links = new RankLinks({
      identity,
      log,
      createEngine,
      group: state.group,
      onReport: (member, report) => this.#onReport(member, report),
    });
    this.#queries = new RankQueries({
      ranks: state.ranks,
      bytesPerSecond: options.linkBytesPerSecond,
    });
    this.#baseMapPacer = new BaseMapPacer(options.linkBytesPerSecond);
    this.#timer = setInterval(() => this.#onTick(), TICK_MS);
  }

  /** Stops the decider and closes its links. */
  stop(): void {
    clearInterval(this.#timer);
    this.#links.stop();
  }

  /** Sets the processes of the group's ranks, including this one. */
  setMembers(members: readonly GroupMemberAddress[]): void {
    this.#links.setMembers(members);
  }

  #onReport(member: RankMember, report: RankReportMessage): void {
    this.#queries.recordAnswer(report);
    const now = performance.now();
    if (report.state.rank === 0) this.#forwardArmedReport(report);
    this.#recordCounts(member, report);
    const { rank } = report.state;
    this.#dispatch({ kind: "rank_reported", now, rank, report });
    this.#planIfCounted();
  }

  /**
   * Forwards to the holder's sidecar that rank 0 is armed. If this VM freezes, the engine
   * of rank 0 cannot be reached either, but the holder's sidecar can still complete the
   * switch.
   */
  #forwardArmedReport(report: RankReportMessage): void {
    const { state, orderId } = report;
    if (orderId === undefined || state.armed === undefined) return;
    this.#links.forwardReport(getHolderRank(state.ranks), report);
  }

  #recordCounts(member: RankMember, report: RankReportMessage): void {
    const { state, counts } = report;
    if (state.epoch > this.#epoch) {
      this.#epoch = state.epoch;
      this.#popularity.clear();
    }
    if (counts === undefined) return;
    const { knownCounts } = member;
    member.knownCounts = counts.serial;
    const now = performance.now();
    if (counts.since === undefined) {
      this.#popularity.observe(state.rank, counts.counts, now);
    } else if (counts.since === knownCounts) {
      this.#popularity.observeIncrease(state.rank, counts.counts, now);
    } else {
      // The base of this increase was lost, so the full counts are requested next.
      member.knownCounts = undefined;
      return;
    }
    this.#countedRanks.add(state.rank);
  }

  #onTick(): void {
    const now = performance.now();
    this.#dispatch({ kind: "tick", now });
    this.#publishLoad(now);
    this.#logWork(now);
    this.#queryRanks(now);
    this.#sendBaseMap(now);
  }

  #sendBaseMap(now: number): void {
    const map = this.#decider.settledMap;
    const member = map &&
      this.#links.members.find(({ link, mapEncoder }) =>
        link !== undefined && !mapEncoder.hasBase
      );
    if (map === undefined || member === undefined) return;
    if (!this.#baseMapPacer.tryTake(map, now)) return;
    member.link?.send(member.mapEncoder.encodeBase(map));
  }

  #queryRanks(now: number): void {
    const reachable = new Set(
      this.#links.members.flatMap(({ link, rank }) =>
        link === undefined ? [] : [rank]
      ),
    );
    for (const query of this.#queries.takeDue(now, reachable)) {
      this.#sendQuery(query);
    }
  }

  #sendQuery({ rank, ...fields }: RankQuery): void {
    const member = this.#links.tryGetMember(rank);
    const { knownCounts } = member ?? {};
    member?.link?.send({ kind: "rank_query", ...fields, knownCounts });
  }

  #publishLoad(now: number): void {
    if (now - this.#loadSentAt < LOAD_INTERVAL_MS) return;
    this.#loadSentAt = now;
    const { onLoad, pool, state } = this.#options;
    const members = this.#links.members;
    const own = members.find(({ rank }) => rank === 0);
    if (own?.state === undefined) return;
    onLoad({
      pool,
      group: state.group,
      isOpen: own.state.isOpen,
      ageMs: now - own.stateReceivedAt,
      passMs: this.#decider.passMs,
      epoch: this.#decider.epoch,
      loads: members.flatMap((member) =>
        member.state === undefined ? [] : [{
          engineAddress: member.engineAddress,
          running: member.state.running,
          queued: member.state.queued,
          pace: member.state.pace,
        }]
      ),
    });
  }

  /**
   * Logs the possible causes of late answers: long passes, and the load of the ranks and
   * its imbalance.
   */
  #logWork(now: number): void {
    if (now - this.#workLoggedAt < WORK_LOG_INTERVAL_MS) return;
    const { ranks, group } = this.#options.state;
    const states = this.#links.members.flatMap(({ state }) => state ?? []);
    const pass = Math.max(0, ...states.map((state) => state.pass));
    const passes = pass - this.#lastLoggedPass;
    this.#workLoggedAt = now;
    this.#lastLoggedPass = pass;
    if (passes <= 0) return;
    const running = states.map((state) => state.running);
    this.#options.log.write("GROUP_WORKED", {
      group,
      epoch: this.#epoch,
      passes,
      passMs: Math.round(this.#decider.passMs ?? 0),
      running: running.reduce((sum, count) => sum + count, 0),
      mostRunning: Math.max(...running),
      queued: states.reduce((sum, state) => sum + state.queued, 0),
      heard: `${states.length} of ${ranks}`,
      counted: this.#countedRanks.size,
    });
  }

  #planIfCounted(): void {
    const map = this.#decider.settledMap;
    const settings = this.#options.trySettings();
    const hasEnoughCounts =
      this.#countedRanks.size >= this.#queries.minSampledForPlan;
    if (map === undefined || settings === undefined || !hasEnoughCounts) return;
    if (!this.#popularity.isKnown || this.#isPlanningDeferred()) return;
    this.#countedRanks.clear();
    const startedAt = performance.now();
    const passPauseRatio = this.#getPassPauseRatio(settings);
    const plan = tryPlanIncrement({
      current: map,
      tokens: this.#popularity.tokens,
      paces: this.#getPaces(),
    }, {
      slotsPerRank: settings.slotsPerRank,
      maxNewPerRank: getMaxCopiesPerRank({
        loadMs: settings.loadMs,
        passMs: this.#decider.passMs,
        ranks: this.#options.state.ranks,
      }),
      maxNewPerLayer: settings.maxNewExperts,
      loadMs: settings.loadMs,
      passFraction: passPauseRatio,
    });
    if (plan === undefined) {
      const { changes } = this.#popularity;
      this.#lastEmptyPlan = { at: startedAt, changes };
      return;
    }
    this.#options.log.write("MAP_PROPOSED", {
      moves: plan.copies,
      skewBefore: Number((plan.costBefore / settings.layers).toFixed(3)),
      skewAfter: Number((plan.costAfter / settings.layers).toFixed(3)),
      changes: this.#popularity.changes,
      planningMs: Math.round(performance.now() - startedAt),
    });
    const now = performance.now();
    this.#dispatch({
      kind: "map_proposed",
      now,
      map: plan.map,
      passPauseRatio,
    });
  }

  #isPlanningDeferred(): boolean {
    const { at, changes } = this.#lastEmptyPlan;
    return changes === this.#popularity.changes &&
      performance.now() - at < IDLE_PLAN_INTERVAL_MS;
  }

  /** Returns the pace of each rank in its last report; 1 for ranks without one. */
  #getPaces(): readonly number[] {
    const paces = new Array<number>(this.#options.state.ranks).fill(1);
    for (const { rank, state } of this.#links.members) {
      if (rank !== undefined && state !== undefined) paces[rank] = state.pace;
    }
    return paces;
  }

  /**
   * Returns the ratio of the mean pass duration to the pause objective, if both are
   * known.
   */
  #getPassPauseRatio({ pauseObjectiveMs }: GroupSettings): number | undefined {
    const { passMs } = this.#decider;
    if (passMs === undefined || pauseObjectiveMs === undefined) {
      return undefined;
    }
    return passMs / pauseObjectiveMs;
  }

  #dispatch(event: DeciderEvent): void {
    for (const effect of this.#decider.reduce(event)) this.#perform(effect);
  }

  #perform(effect: DeciderEffect): void {
    match(effect)
      .with({ kind: "send_order" }, (order) => this.#sendOrder(order))
      .with(
        { kind: "send_query" },
        ({ rank }) => this.#queries.addUnknown(rank),
      )
      .with({ kind: "phase_entered" }, ({ kind: _, ...details }) => {
        this.#options.log.write("MAP_PHASE", {
          ...details,
          tookMs: Math.round(details.tookMs),
        });
      })
      .with({ kind: "map_in_force" }, ({ version }) => {
        this.#options.log.write("MAP_DECIDED", { version, isCommitted: true });
        this.#countedRanks.clear();
      })
      .exhaustive();
  }

  /**
   * Sends orders; those that hold or release a pass go from this VM directly to the
   * engine. If this VM freezes afterwards, the holder's sidecar still runs and can end
   * the hold.
   */
  #sendOrder(effect: SendOrder): void {
    const { kind } = effect.order;
    const isSentDirectly = effect.rank !== 0 &&
      (kind === "hold" || kind === "go");
    if (isSentDirectly) return this.#links.sendOrderToEngine(effect);
    this.#links.sendOrder(effect);
  }
}
