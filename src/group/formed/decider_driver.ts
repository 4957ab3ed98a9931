/**
 * Runs the decider of a formed group: speaks with the processes of all ranks,
 * and proposes maps from what their engines count.
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
import { BaseMapPacer } from "./base_maps.ts";
import { getCopiesPerRank } from "./copies_per_rank.ts";
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
import { type RankQuestion, RankQuestions } from "./rank_questions.ts";
import {
  getHolderRank,
  type GroupLoad,
  type RankReportMessage,
  type RankState,
} from "../../messages/formed_group_types.ts";

const TICK_MS = 25;
/**
 * Milliseconds after a plan that found nothing worth a copy until the next, unless
 * popularity changes: a plan takes some 20 ms of a small machine's processor.
 */
const IDLE_PLAN_INTERVAL_MS = 400;
/** Milliseconds between two words to entries on how the ranks stand. */
const LOAD_INTERVAL_MS = 200;
/** Milliseconds between two lines of the log on how the group worked. */
const WORK_LOG_INTERVAL_MS = 1000;
/** Orders of a decider are numbered from a random number below this. */
const MAX_FIRST_ORDER_ID = 2 ** 31;

/** Options of a {@link DeciderDriver}. */
export interface DeciderDriverOptions {
  readonly identity: LinkIdentity;
  /** State of rank 0 as the decider starts. */
  readonly state: RankState;
  readonly trySettings: () => GroupSettings | undefined;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Called after each round of questions with what the ranks answered. */
  readonly onLoad: (load: GroupLoad) => void;
  readonly pool: string;
  /** Bytes that this machine's link carries in a second, each way. */
  readonly linkBytesPerSecond: number;
  /** Makes the way to the engine of another machine. */
  readonly createEngine: (address: string) => FormedEngine;
}

/** Runs the decider of a formed group. */
export class DeciderDriver {
  readonly #options: DeciderDriverOptions;
  readonly #decider: FormedGroupDecider;
  readonly #popularity = new Popularity();
  readonly #links: RankLinks;
  readonly #queries: RankQuestions;
  readonly #baseMapPacer: BaseMapPacer;
  /** Ranks that were counted since the last plan, or since a map came into force. */
  readonly #countedRanks = new Set<number>();
  readonly #timer: NodeJS.Timeout;
  #loadSentAt = 0;
  /** When a plan last found nothing worth a copy, and for which popularity. */
  #lastEmptyPlan = { at: Number.NEGATIVE_INFINITY, changes: 0 };
  #workLoggedAt = 0;
  #lastLoggedPass = 0;
  #epoch: number;

  /** Begins at once; members are told by {@link setMembers}. */
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
    this.#queries = new RankQuestions({
      ranks: state.ranks,
      bytesPerSecond: options.linkBytesPerSecond,
    });
    this.#baseMapPacer = new BaseMapPacer(options.linkBytesPerSecond);
    this.#timer = setInterval(() => this.#onTick(), TICK_MS);
  }

  /** Decides no more. */
  stop(): void {
    clearInterval(this.#timer);
    this.#links.stop();
  }

  /** The processes of the group's ranks, this one included. */
  setMembers(members: readonly GroupMemberAddress[]): void {
    this.#links.setMembers(members);
  }

  #onReport(member: RankMember, report: RankReportMessage): void {
    this.#queries.answered(report);
    const now = performance.now();
    if (report.state.rank === 0) this.#forwardArmedReport(report);
    this.#recordCounts(member, report);
    const { rank } = report.state;
    this.#dispatch({ kind: "rank_reported", now, rank, report });
    this.#planIfCounted();
  }

  /**
   * That rank 0 is armed: if this machine stands still now, so does that rank's engine
   * towards all others, and the process beside the holder can still end the switch.
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
      // Added to counts that never came: the next ones are wanted in full.
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
      this.#links.members.find(({ link, mapEncoder: sentMap }) =>
        link !== undefined && !sentMap.hasBase
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
    for (const question of this.#queries.take(now, reachable)) {
      this.#sendQuery(question);
    }
  }

  #sendQuery({ rank, ...wanted }: RankQuestion): void {
    const member = this.#links.tryMember(rank);
    const { knownCounts } = member ?? {};
    member?.link?.send({ kind: "rank_query", ...wanted, knownCounts });
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

  /** Says what made answers late: long passes, and of these load or an uneven map. */
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
    const isCounted =
      this.#countedRanks.size >= this.#queries.minCountedForPlan;
    if (map === undefined || settings === undefined || !isCounted) return;
    if (!this.#popularity.isKnown || this.#isPlanningDeferred()) return;
    this.#countedRanks.clear();
    const startedAt = performance.now();
    const passPart = this.#getPassPauseRatio(settings);
    const plan = tryPlanIncrement({
      current: map,
      tokens: this.#popularity.tokens,
      paces: this.#getPaces(),
    }, {
      slotsPerRank: settings.slotsPerRank,
      mostNewPerRank: getCopiesPerRank({
        loadMs: settings.loadMs,
        passMs: this.#decider.passMs,
        ranks: this.#options.state.ranks,
      }),
      mostNewPerLayer: settings.mostNewExperts,
      loadMs: settings.loadMs,
      passPart,
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
      passPauseRatio: passPart,
    });
  }

  #isPlanningDeferred(): boolean {
    const { at, changes } = this.#lastEmptyPlan;
    return changes === this.#popularity.changes &&
      performance.now() - at < IDLE_PLAN_INTERVAL_MS;
  }

  /** Pace of each rank by its last report. */
  #getPaces(): readonly number[] {
    const paces = new Array<number>(this.#options.state.ranks).fill(1);
    for (const { rank, state } of this.#links.members) {
      if (rank !== undefined && state !== undefined) paces[rank] = state.pace;
    }
    return paces;
  }

  /** Time of a pass over the pause that callers bear. */
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
      .with({ kind: "send_query" }, ({ rank }) => this.#queries.want(rank))
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
   * Holds are given and ended from this machine: if it stands still right after, the
   * one beside the holder does not, and can end the hold.
   */
  #sendOrder(effect: SendOrder): void {
    const { kind } = effect.order;
    const isRemote = effect.rank !== 0 && (kind === "hold" || kind === "go");
    if (isRemote) return this.#links.sendOrderToEngine(effect);
    this.#links.sendOrder(effect);
  }
}
