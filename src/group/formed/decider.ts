/**
 * Decides the expert map of a formed group, in the process beside rank 0.
 *
 * A switch goes forward only: the ranks prepare a map; one of them holds the pass
 * of the switch, so that the group cannot begin it; the others are armed, and the
 * decider's own rank last; when every rank is seen to be armed, the pass may
 * begin. No version is armed for two passes, so an order that an engine carries
 * out late finds its pass begun.
 * A decider that starts without memory reads from the ranks' states how far the
 * one before it came, and goes on from there.
 *
 * @module
 */
import { assertNever, Debug } from "../../core/debug.ts";
import type { RandomSource } from "../../core/random_source.ts";
import type { ExpertMap } from "../types.ts";
import type {
  Arming,
  DeciderEffect,
  DeciderEvent,
  DeciderPhase,
  Gathering,
  RankReported,
  Releasing,
} from "./decider_types.ts";
import { tryFindUnfinished } from "./unfinished_switch.ts";
import { assembleMap } from "./assemble_map.ts";
import {
  HOLDER_RANK,
  isCarriedOut,
  type RankOrder,
  type RankState,
} from "./types.ts";

/** Milliseconds after which an order or a question is sent again. */
export const RESEND_MS = 250;
/** Milliseconds between two looks at a group that has yet to begin a pass. */
const SWITCHING_LOOK_MS = 40;
/**
 * Passes between the last one that was begun and the one of the switch, at least.
 * Orders take 20 ms to reach all of 12 ranks and a pass 40 or more, so with two the
 * pass is rarely held in fact. More ranks take longer: the margin follows from
 * whether the group had to wait.
 */
const FIRST_MARGIN_PASSES = 2;
const LARGEST_MARGIN_PASSES = 64;
/**
 * Versions of one decider come from a block of their own, at a random place: two
 * deciders that know nothing of each other do not give one number to two maps.
 */
const VERSION_BLOCK = 2 ** 16;
const RANDOM_PLACES = 2 ** 14;

/** Options of a {@link FormedGroupDecider}. */
export interface FormedGroupDeciderOptions {
  /** State of rank 0 as the decider starts. */
  readonly state: RankState;
  readonly random: RandomSource;
  readonly now: number;
}

interface OpenOrder {
  readonly id: number;
  readonly order: RankOrder;
  sentAt: number;
}

/** Decides the expert map of a formed group. */
export class FormedGroupDecider {
  readonly #random: RandomSource;
  readonly #ranks: number;
  #epoch: number;
  #phase: DeciderPhase;
  #phaseEnteredAt: number;
  #highestVersion = 0;
  #ownVersion: number | undefined;
  #marginPasses = FIRST_MARGIN_PASSES;
  /** Margin with which a switch begins. */
  #usualMarginPasses = FIRST_MARGIN_PASSES;
  readonly #open = new Map<number, OpenOrder>();
  #nextOrderId = 1;
  #askedAt = Number.NEGATIVE_INFINITY;
  #effects: DeciderEffect[] = [];

  /** Knows nothing of the other ranks yet: the first tick asks them. */
  constructor(options: FormedGroupDeciderOptions) {
    this.#random = options.random;
    this.#ranks = options.state.ranks;
    this.#epoch = options.state.epoch;
    this.#phase = { kind: "gathering", states: new Map(), experts: new Map() };
    this.#phaseEnteredAt = options.now;
  }

  /** The map in force, when no switch is under way. */
  get settledMap(): ExpertMap | undefined {
    return this.#phase.kind === "settled" ? this.#phase.map : undefined;
  }

  /** Formation of the group that is decided for. */
  get epoch(): number {
    return this.#epoch;
  }

  /**
   * Takes in one event and returns what is to be done, in order.
   *
   * @example
   * ```ts
   * for (const effect of decider.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: DeciderEvent): readonly DeciderEffect[] {
    this.#effects = [];
    switch (event.kind) {
      case "rank_reported":
        this.#reported(event);
        break;
      case "map_proposed":
        this.#proposed(event.map, event.now);
        break;
      case "tick":
        this.#tick(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#effects;
  }

  #reported(event: RankReported): void {
    const { rank, report, now } = event;
    const { state } = report;
    if (state.epoch < this.#epoch) return;
    if (state.epoch > this.#epoch) {
      this.#epoch = state.epoch;
      return this.#gather(now);
    }
    this.#noteVersions(state);
    const open = this.#open.get(rank);
    const isDone = open !== undefined && isCarriedOut(open.order, state);
    if (isDone) this.#open.delete(rank);
    if (this.#hasStrayHold(state)) return this.#gather(now);
    const isRejected = open !== undefined && !isDone &&
      report.orderId === open.id && report.isDone === false;
    if (isRejected) return this.#rejected(rank, state, now);
    this.#progress(event);
  }

  #progress(event: RankReported): void {
    const { rank, report, now } = event;
    const phase = this.#phase;
    switch (phase.kind) {
      case "gathering":
        phase.states.set(rank, report.state);
        if (report.experts !== undefined) {
          phase.experts.set(rank, report.experts);
        }
        return this.#gathered(phase, now);
      case "switching":
        if (report.state.activeVersion === phase.version) {
          this.#switched(phase.map, now);
        }
        return;
      case "preparing":
        if (this.#open.size === 0) this.#hold(phase, report.state, now);
        return;
      case "holding":
        if (this.#open.size === 0) this.#arm(phase, now);
        return;
      case "arming":
        if (this.#open.size > 0) return;
        this.#noteWait(phase.pass, report.state);
        return this.#armOwn(phase, now);
      case "arming_own":
        if (this.#open.size > 0) return;
        this.#noteSlack(phase.pass, report.state);
        return this.#release(phase, now);
      case "releasing":
        if (this.#open.size === 0) this.#released(phase, now);
        return;
      case "settled":
        return;
      default:
        assertNever(phase);
    }
  }

  /** Every rank is known: either all is settled, or a switch is unfinished. */
  #gathered(phase: Gathering, now: number): void {
    const isWhole = phase.states.size === this.#ranks &&
      phase.experts.size === this.#ranks;
    if (!isWhole) return;
    const states = [...phase.states.values()];
    const unfinished = tryFindUnfinished(states);
    switch (unfinished.kind) {
      case "none": {
        const map = assembleMap(phase.experts);
        return this.#enter({ kind: "settled", map }, now);
      }
      case "changing":
        // The ranks were seen at different times; they are asked again.
        phase.states.clear();
        phase.experts.clear();
        return;
      case "held":
        return this.#arm({ ...unfinished, map: undefined }, now);
      case "held_in_vain":
        return this.#release(
          { ...unfinished, version: undefined, map: undefined },
          now,
        );
      default:
        assertNever(unfinished);
    }
  }

  #proposed(map: ExpertMap, now: number): void {
    if (this.#phase.kind !== "settled") return;
    const version = this.#nextVersion();
    this.#marginPasses = this.#usualMarginPasses;
    const before = this.#phase.map;
    this.#enter({ kind: "preparing", version, map, before }, now);
    this.#forEachRank((rank) =>
      this.#order(
        rank,
        { kind: "prepare", epoch: this.#epoch, version, map },
        now,
      )
    );
  }

  #hold(
    phase: { readonly version: number; readonly map: ExpertMap | undefined },
    newest: RankState,
    now: number,
  ): void {
    const pass = newest.pass + this.#marginPasses;
    const { version, map } = phase;
    const holder = Math.min(HOLDER_RANK, this.#ranks - 1);
    this.#enter({ kind: "holding", holder, version, pass, map }, now);
    this.#order(holder, { kind: "hold", ...this.#at(pass) }, now);
  }

  #arm(phase: Omit<Arming, "kind">, now: number): void {
    const { holder, version, pass, map } = phase;
    this.#enter({ kind: "arming", holder, version, pass, map }, now);
    for (let rank = 1; rank < this.#ranks; rank++) {
      this.#order(rank, { kind: "arm", ...this.#at(pass), version }, now);
    }
    if (this.#ranks === 1) this.#armOwn(phase, now);
  }

  /**
   * While some other rank is not armed, this one is not either. So if this
   * machine stands still, the others can tell whether the switch can be left out.
   */
  #armOwn(phase: Omit<Arming, "kind">, now: number): void {
    const { holder, version, pass, map } = phase;
    this.#enter({ kind: "arming_own", holder, version, pass, map }, now);
    this.#order(0, { kind: "arm", ...this.#at(pass), version }, now);
  }

  /** While orders were still to be given, the group stood before the pass. */
  #noteWait(pass: number, { pass: begun }: RankState): void {
    if (begun < pass - 1) return;
    this.#usualMarginPasses = Math.min(
      LARGEST_MARGIN_PASSES,
      this.#usualMarginPasses + 1,
    );
  }

  /** All orders were given with two whole passes to spare. */
  #noteSlack(pass: number, { pass: begun }: RankState): void {
    if (begun >= pass - 2) return;
    this.#usualMarginPasses = Math.max(
      FIRST_MARGIN_PASSES,
      this.#usualMarginPasses - 1,
    );
  }

  #release(phase: Omit<Releasing, "kind">, now: number): void {
    const { holder, version, pass, map } = phase;
    this.#enter({ kind: "releasing", holder, version, pass, map }, now);
    this.#order(holder, { kind: "go", ...this.#at(pass) }, now);
  }

  #released(
    phase: Extract<DeciderPhase, { kind: "releasing" }>,
    now: number,
  ): void {
    const { version, map } = phase;
    if (version === undefined) return this.#gather(now);
    this.#enter({ kind: "switching", version, map }, now);
  }

  #switched(map: ExpertMap | undefined, now: number): void {
    const { version } = this.#phase as { readonly version: number };
    this.#effects.push({ kind: "map_in_force", version });
    if (map === undefined) return this.#gather(now);
    this.#enter({ kind: "settled", map }, now);
  }

  /** A hold that took effect after it was given up stops the group for nothing. */
  #hasStrayHold(state: RankState): boolean {
    if (state.heldPass === undefined) return false;
    const phase = this.#phase;
    switch (phase.kind) {
      case "settled":
      case "preparing":
      case "switching":
        return true;
      case "holding":
        return state.heldPass !== phase.pass;
      case "gathering":
      case "arming":
      case "arming_own":
      case "releasing":
        return false;
      default:
        return assertNever(phase);
    }
  }

  #rejected(rank: number, state: RankState, now: number): void {
    const phase = this.#phase;
    switch (phase.kind) {
      case "preparing":
        // Nothing is armed, so what some ranks loaded does no harm.
        this.#open.clear();
        return this.#enter({ kind: "settled", map: phase.before }, now);
      case "holding":
        // The order was lost, and is given again by the next tick.
        if (state.pass < phase.pass) return;
        // The pass had begun: the switch moves further ahead.
        this.#open.clear();
        this.#marginPasses = Math.min(
          LARGEST_MARGIN_PASSES,
          this.#marginPasses * 2,
        );
        return this.#hold(phase, state, now);
      case "arming":
      case "arming_own":
      case "releasing": {
        // A pass begins when all ranks are armed for it or none is, so one that
        // began without this rank was let go by another process.
        if (state.pass >= phase.pass) return this.#gather(now);
        // Other ranks may be armed: it is asked for again until it is done.
        const open = this.#open.get(rank);
        if (open !== undefined) open.sentAt = now;
        return;
      }
      case "gathering":
      case "settled":
      case "switching":
        return;
      default:
        assertNever(phase);
    }
  }

  #tick(now: number): void {
    for (const [rank, open] of this.#open) {
      if (now - open.sentAt < RESEND_MS) continue;
      open.sentAt = now;
      this.#sendOrder(rank, open);
    }
    const { kind } = this.#phase;
    const isGathering = kind === "gathering";
    const lookMs = isGathering ? RESEND_MS : SWITCHING_LOOK_MS;
    const isLooking = isGathering || kind === "switching";
    if (!isLooking || now - this.#askedAt < lookMs) return;
    this.#askedAt = now;
    if (isGathering) return this.#askAll();
    this.#effects.push({ kind: "send_query", rank: 0, withExperts: false });
  }

  #gather(now: number): void {
    this.#open.clear();
    this.#enter(
      { kind: "gathering", states: new Map(), experts: new Map() },
      now,
    );
    this.#askedAt = now;
    this.#askAll();
  }

  #askAll(): void {
    this.#forEachRank((rank) =>
      this.#effects.push({ kind: "send_query", rank, withExperts: true })
    );
  }

  #enter(phase: DeciderPhase, now: number): void {
    this.#phase = phase;
    this.#effects.push({
      kind: "phase_entered",
      phase: phase.kind,
      epoch: this.#epoch,
      version: "version" in phase ? phase.version : undefined,
      pass: "pass" in phase ? phase.pass : undefined,
      tookMs: now - this.#phaseEnteredAt,
    });
    this.#phaseEnteredAt = now;
  }

  #order(rank: number, order: RankOrder, now: number): void {
    const open = { id: this.#nextOrderId++, order, sentAt: now };
    this.#open.set(rank, open);
    this.#sendOrder(rank, open);
  }

  #sendOrder(rank: number, open: OpenOrder): void {
    this.#effects.push({
      kind: "send_order",
      rank,
      orderId: open.id,
      order: open.order,
    });
  }

  #noteVersions(state: RankState): void {
    this.#highestVersion = Math.max(
      this.#highestVersion,
      state.activeVersion,
      state.preparedVersion ?? 0,
      state.armed?.version ?? 0,
    );
  }

  #nextVersion(): number {
    const isAhead = this.#ownVersion !== undefined &&
      this.#ownVersion >= this.#highestVersion;
    const block = Math.floor(this.#highestVersion / VERSION_BLOCK) + 1;
    const version = isAhead
      ? Debug.getDefined(this.#ownVersion, "Ahead of all others") + 1
      : block * VERSION_BLOCK + this.#random.nextBelow(RANDOM_PLACES);
    this.#ownVersion = version;
    return version;
  }

  #at(pass: number) {
    return { epoch: this.#epoch, pass };
  }

  #forEachRank(callback: (rank: number) => void): void {
    for (let rank = 0; rank < this.#ranks; rank++) callback(rank);
  }
}
