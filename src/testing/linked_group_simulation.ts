/**
 * Simulates a decider of a formed group and the sidecars of the ranks, in virtual time.
 * The decider's VM has a slow link: a message is received after all earlier ones have
 * crossed the link.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { FormedGroupDecider } from "../group/formed/decider.ts";
import type { DeciderEvent } from "../group/formed/decider_types.ts";
import { RankQueries, type RankQuery } from "../group/formed/rank_queries.ts";
import type {
  ExpertCounts,
  RankExperts,
  RankReportMessage,
} from "../messages/formed_group_types.ts";
import { encodeFrame } from "../messages/codec.ts";
import { EventQueue } from "./event_queue.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";

const TICK_MS = 25;
/** Milliseconds until a rank's sidecar has received a query and read its engine. */
const ANSWER_DELAY_MS = 6;
/** Bytes of headers of a small frame. */
const FRAME_OVERHEAD_BYTES = 70;
/** Maximum that a rank adds to a count between two queries. */
const MAX_ADDED_COUNT = 100;

/** A group and the link of its decider's VM. */
export interface LinkedGroupOptions {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  readonly slotsPerRank: number;
  readonly linkBytesPerSecond: number;
  /** Ranks whose sidecars never answer. */
  readonly silentRanks?: ReadonlySet<number>;
}

/** Results of a run. */
export interface LinkedGroupResult {
  /** When the decider first knew which experts every rank holds; undefined: never. */
  readonly settledAt: number | undefined;
  /** Longest time for which an answer waited for the link, in milliseconds. */
  readonly longestWaitMs: number;
  /** Fraction of the run in which the link was in use. */
  readonly linkUtilisation: number;
  /** Mean number of ranks whose counts were received each second. */
  readonly countsPerSecond: number;
  /** Longest time since a rank last reported its state, at the end of the run. */
  readonly oldestStateMs: number;
}

/** A decider behind a link of limited bandwidth. */
export class LinkedGroupSimulation {
  readonly #options: LinkedGroupOptions;
  readonly #queue = new EventQueue();
  readonly #engines: readonly FakeFormedEngine[];
  readonly #decider: FormedGroupDecider;
  readonly #queries: RankQueries;
  readonly #reachable: ReadonlySet<number>;
  readonly #stateAt: number[];
  readonly #random = new RandomSource(1);
  #linkFreeAt = 0;
  #linkBusyMs = 0;
  #longestWaitMs = 0;
  #settledAt: number | undefined;
  #counts = 0;

  /** Starts the decider. */
  constructor(options: LinkedGroupOptions) {
    this.#options = options;
    const { ranks, linkBytesPerSecond } = options;
    this.#engines = Array.from(
      { length: ranks },
      (_, rank) => new FakeFormedEngine(rank, ranks),
    );
    this.#reachable = new Set(this.#engines.keys());
    this.#stateAt = new Array<number>(ranks).fill(0);
    this.#decider = new FormedGroupDecider({
      state: this.#getEngine(0).state,
      random: this.#random,
      now: 0,
      firstOrderId: 1,
    });
    this.#queries = new RankQueries({
      ranks,
      bytesPerSecond: linkBytesPerSecond,
    });
    this.#tick();
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): LinkedGroupResult {
    this.#queue.runUntil(untilMs);
    const { silentRanks } = this.#options;
    const stateTimes = this.#stateAt.filter((_, rank) =>
      !silentRanks?.has(rank)
    );
    return {
      settledAt: this.#settledAt,
      longestWaitMs: this.#longestWaitMs,
      linkUtilisation: this.#linkBusyMs / untilMs,
      countsPerSecond: this.#counts * 1000 / untilMs,
      oldestStateMs: untilMs - Math.min(...stateTimes),
    };
  }

  #tick(): void {
    const { now } = this.#queue;
    this.#reduce({ kind: "tick", now });
    for (const query of this.#queries.takeDue(now, this.#reachable)) {
      this.#query(query);
    }
    this.#queue.after(TICK_MS, () => this.#tick());
  }

  #reduce(event: DeciderEvent): void {
    for (const effect of this.#decider.reduce(event)) {
      if (effect.kind === "send_query") this.#queries.addUnknown(effect.rank);
    }
    if (this.#decider.settledMap !== undefined) {
      this.#settledAt ??= this.#queue.now;
    }
  }

  #query(query: RankQuery): void {
    if (this.#options.silentRanks?.has(query.rank)) return;
    this.#queue.after(
      ANSWER_DELAY_MS,
      () => this.#sendOverLink(this.#answer(query)),
    );
  }

  /**
   * Sends a report over the link; the decider's own rank is on its VM and needs no link.
   */
  #sendOverLink(report: RankReportMessage): void {
    const { now } = this.#queue;
    if (report.state.rank === 0) return this.#receive(report);
    const bytes = encodeFrame([report]).length + FRAME_OVERHEAD_BYTES;
    const transferMs = bytes / this.#options.linkBytesPerSecond * 1000;
    const startsAt = Math.max(now, this.#linkFreeAt);
    this.#longestWaitMs = Math.max(this.#longestWaitMs, startsAt - now);
    this.#linkFreeAt = startsAt + transferMs;
    this.#linkBusyMs += transferMs;
    this.#queue.after(this.#linkFreeAt - now, () => this.#receive(report));
  }

  #receive(report: RankReportMessage): void {
    const { now } = this.#queue;
    const { rank } = report.state;
    this.#stateAt[rank] = now;
    if (report.counts !== undefined) this.#counts++;
    this.#queries.recordAnswer(report);
    this.#reduce({ kind: "rank_reported", now, rank, report });
  }

  #answer({ rank, withExperts, withCounts }: RankQuery): RankReportMessage {
    const { state } = this.#getEngine(rank);
    const counts = withCounts ? this.#createCounts() : undefined;
    return {
      kind: "rank_report",
      state,
      ...counts && { counts: { serial: 2, since: 1, counts } },
      ...withExperts && { experts: this.#getExperts(rank) },
    };
  }

  #createCounts(): ExpertCounts {
    const { layers, experts } = this.#options;
    return Array.from({ length: layers }, () =>
      Array.from(
        { length: experts },
        () => this.#random.nextBelow(MAX_ADDED_COUNT),
      ));
  }

  #getExperts(rank: number): RankExperts {
    const { layers, ranks, slotsPerRank } = this.#options;
    return Array.from({ length: layers }, () =>
      Array.from(
        { length: slotsPerRank },
        (_, slot) => rank + slot * ranks,
      ));
  }

  #getEngine(rank: number): FakeFormedEngine {
    return this.#engines[rank] as FakeFormedEngine;
  }
}
