/**
 * Decides the expert map of a formed group. Runs in the sidecar of rank 0, and in the
 * sidecar of the holder to complete a switch that no other process completes.
 *
 * A switch takes these steps: All ranks prepare a map. The holder's engine holds the
 * pass of the switch, so that the group cannot begin it. The holder is armed, which
 * commits the switch. All other ranks are armed. Once every rank is known to be armed,
 * the pass is released.
 *
 * Any process that finds a held pass reads from the holder's engine alone how to
 * proceed. If the holder is armed, the process arms all other ranks and releases the
 * pass, which runs with the new map. If the holder is not armed, no rank is: the process
 * fences the holder's engine, so that it can no longer be armed for that pass, and
 * releases the pass, which runs with the old map. An engine stays armed or fenced until
 * the pass begins and is never both. Therefore any number of processes may do this
 * concurrently, each may stop at any time, and no order does harm if it is executed
 * late.
 *
 * @module
 */
import { assertNever } from "../../core/debug.ts";
import type { ExpertMap } from "../../messages/group_types.ts";
import { DeciderEffects } from "./decider_effects.ts";
import type {
  DeciderEffect,
  DeciderEvent,
  DeciderPhase,
  FormedGroupDeciderOptions,
  Gathering,
  MapProposed,
  RankReported,
  Releasing,
  SwitchAtPass,
} from "./decider_types.ts";
import { recordRankReport, tryGetSettledMap } from "./gathered_ranks.ts";
import { readHeldPass } from "./held_pass.ts";
import { HoldMargin } from "./hold_margin.ts";
import { classifyRejection, hasStrayHold } from "./classify_report.ts";
import { MapVersions } from "./map_versions.ts";
import { OpenOrders } from "./open_orders.ts";
import { PassTimes } from "./pass_times.ts";
import {
  getHolderRank,
  type RankOrder,
  type RankState,
} from "../../messages/formed_group_types.ts";

/** Milliseconds between two queries to ranks whose experts are unknown. */
const GATHERING_QUERY_INTERVAL_MS = 250;
/** Milliseconds between two queries while the pass of a switch has not begun. */
const SWITCHING_QUERY_INTERVAL_MS = 40;
/** Weight of the newest sample in the mean duration of a pass, from 0 to 1. */
const PASS_SMOOTHING = 0.4;

/** Decides the expert map of a formed group. */
export class FormedGroupDecider {
  readonly #ranks: number;
  readonly #holder: number;
  #epoch: number;
  /** Last pass of this epoch that any rank is known to have begun. */
  #lastPass: number;
  /** Last pass of this epoch that each rank is known to have begun. */
  readonly #lastPassByRank = new Map<number, number>();
  #phase: DeciderPhase;
  #phaseEnteredAt: number;
  readonly #versions: MapVersions;
  readonly #margin = new HoldMargin();
  readonly #passTimes = new PassTimes(PASS_SMOOTHING);
  /**
   * When this decider ordered the hold of the current switch; undefined if it did not.
   */
  #heldAt: number | undefined;
  readonly #orders: OpenOrders;
  #queriedAt = Number.NEGATIVE_INFINITY;
  readonly #effects = new DeciderEffects();

  /** Starts without any state of the other ranks: the first tick queries them. */
  constructor(options: FormedGroupDeciderOptions) {
    this.#versions = new MapVersions(options.random);
    this.#ranks = options.state.ranks;
    this.#holder = getHolderRank(options.state.ranks);
    this.#epoch = options.state.epoch;
    this.#lastPass = options.state.pass;
    this.#orders = new OpenOrders(options.firstOrderId);
    this.#phase = { kind: "gathering", states: new Map(), experts: new Map() };
    this.#phaseEnteredAt = options.now;
  }

  /** The map in force; undefined while a switch is in progress or the map is unknown. */
  get settledMap(): ExpertMap | undefined {
    return this.#phase.kind === "settled" ? this.#phase.map : undefined;
  }

  /** Mean duration of recent passes in milliseconds; undefined before two reports. */
  get passMs(): number | undefined {
    return this.#passTimes.meanMs;
  }

  /** Epoch of the group's current formation. */
  get epoch(): number {
    return this.#epoch;
  }

  /**
   * Processes one event and returns the resulting effects in order.
   *
   * @example
   * ```ts
   * for (const effect of decider.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: DeciderEvent): readonly DeciderEffect[] {
    this.#effects.clear();
    switch (event.kind) {
      case "rank_reported":
        this.#onRankReport(event);
        break;
      case "map_proposed":
        this.#onMapProposed(event);
        break;
      case "tick":
        this.#onTick(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#effects.all;
  }

  #onRankReport(event: RankReported): void {
    const { rank, report, now } = event;
    const { state } = report;
    if (state.epoch < this.#epoch) return;
    if (state.epoch > this.#epoch) {
      this.#epoch = state.epoch;
      this.#lastPass = state.pass;
      this.#lastPassByRank.clear();
      this.#passTimes.clear();
      return this.#startGathering(now);
    }
    if (this.#isStale(rank, state)) return;
    this.#lastPassByRank.set(rank, state.pass);
    this.#lastPass = Math.max(this.#lastPass, state.pass);
    if (rank === 0) this.#passTimes.observe(state, now);
    this.#versions.record(state);
    const open = this.#orders.tryGet(rank);
    this.#orders.closeIfExecuted(rank, state);
    if (hasStrayHold(this.#phase, state)) return this.#startOver(event);
    const isRejected = this.#orders.tryGet(rank) !== undefined &&
      report.orderId === open?.id && report.isDone === false;
    if (isRejected) return this.#onOrderRejected(event);
    this.#advance(event);
  }

  /**
   * Returns whether a state is older than one received before. An engine reports its
   * current state to its sidecar but a delayed one to other VMs; a hold in a delayed
   * state may have ended since.
   */
  #isStale(rank: number, state: RankState): boolean {
    return state.pass < (this.#lastPassByRank.get(rank) ?? 0);
  }

  /** Queries all ranks again and processes the held pass that this report may show. */
  #startOver(event: RankReported): void {
    this.#startGathering(event.now);
    this.#advance(event);
  }

  #advance(event: RankReported): void {
    const { report: { state }, now } = event;
    const phase = this.#phase;
    const isDone = this.#orders.isEmpty;
    switch (phase.kind) {
      case "gathering":
        return this.#onGatheringReport(phase, event);
      case "switching":
        if (state.activeVersion === phase.version) {
          this.#onSwitched(phase, now);
        }
        return;
      case "preparing":
        if (isDone) this.#startHolding(phase, now);
        return;
      case "holding":
        if (isDone) this.#startDeciding(phase, now);
        return;
      case "deciding":
        if (isDone) this.#startArming(phase, now);
        return;
      case "arming":
        if (isDone) this.#onAllArmed(phase, now);
        return;
      case "fencing":
        if (!isDone) return;
        return this.#startReleasing(
          { pass: phase.pass, version: undefined, map: undefined },
          now,
        );
      case "releasing":
        if (isDone) this.#onReleased(phase, now);
        return;
      case "settled":
        return;
      default:
        assertNever(phase);
    }
  }

  /**
   * Resolves a held pass first; otherwise waits until the state of every rank is known.
   */
  #onGatheringReport(phase: Gathering, event: RankReported): void {
    const { rank, report, now } = event;
    if (rank === this.#holder) {
      const held = readHeldPass(report.state);
      switch (held.kind) {
        case "nothing_held":
          break;
        case "decided":
          return this.#startArming({ ...held, map: undefined }, now);
        case "in_vain":
          return this.#startReleasing(
            { pass: held.pass, version: undefined, map: undefined },
            now,
          );
        case "undecided":
          // Until the group reaches the pass, another switch may still be in progress.
          if (held.isAwaited) this.#startFencing(held.pass, now);
          return;
        default:
          assertNever(held);
      }
    }
    recordRankReport(phase, event);
    const map = tryGetSettledMap(phase, this.#ranks);
    if (map !== undefined) this.#enterPhase({ kind: "settled", map }, now);
  }

  #onMapProposed({ map, passPauseRatio, now }: MapProposed): void {
    if (this.#phase.kind !== "settled") return;
    const version = this.#versions.next();
    this.#margin.startSwitch(this.#passTimes.meanMs, passPauseRatio);
    const previousMap = this.#phase.map;
    this.#enterPhase(
      { kind: "preparing", version, map, previousMap },
      now,
    );
    for (let rank = 0; rank < this.#ranks; rank++) {
      const { epoch } = this;
      this.#sendOrder(rank, { kind: "prepare", epoch, version, map }, now);
    }
  }

  /**
   * Holds a pass that is at least two ahead. A pass is only given up after all passes
   * before it began, so no pass is ever held for a second switch. Otherwise a late order
   * to release the first hold would release the second one, too.
   */
  #startHolding(
    { version, map }: Pick<SwitchAtPass, "version" | "map">,
    now: number,
  ): void {
    const pass = this.#lastPass + this.#margin.passes;
    this.#heldAt = now;
    this.#enterPhase({ kind: "holding", version, pass, map }, now);
    this.#sendOrder(this.#holder, {
      kind: "hold",
      ...this.#createPassFields(pass),
    }, now);
  }

  #startDeciding({ version, pass, map }: SwitchAtPass, now: number): void {
    this.#enterPhase({ kind: "deciding", version, pass, map }, now);
    this.#sendArm(this.#holder, { version, pass, map }, now);
  }

  #startArming(planned: SwitchAtPass, now: number): void {
    const { version, pass, map } = planned;
    this.#orders.clear();
    this.#enterPhase({ kind: "arming", version, pass, map }, now);
    for (let rank = 0; rank < this.#ranks; rank++) {
      if (rank !== this.#holder) this.#sendArm(rank, planned, now);
    }
    if (this.#orders.isEmpty) this.#onAllArmed(planned, now);
  }

  #onAllArmed(planned: SwitchAtPass, now: number): void {
    this.#margin.recordArmed(planned.pass - this.#lastPass);
    this.#startReleasing(planned, now);
  }

  #sendArm(rank: number, { version, pass }: SwitchAtPass, now: number): void {
    this.#sendOrder(rank, {
      kind: "arm",
      ...this.#createPassFields(pass),
      version,
    }, now);
  }

  #startFencing(pass: number, now: number): void {
    const version = this.#versions.next();
    this.#enterPhase({ kind: "fencing", version, pass }, now);
    const { epoch } = this;
    this.#sendOrder(this.#holder, { kind: "fence", epoch, version }, now);
  }

  #startReleasing(phase: Omit<Releasing, "kind">, now: number): void {
    const { version, pass, map } = phase;
    this.#orders.clear();
    this.#enterPhase({ kind: "releasing", version, pass, map }, now);
    this.#sendOrder(this.#holder, {
      kind: "go",
      ...this.#createPassFields(pass),
    }, now);
  }

  #onReleased({ version, map }: Releasing, now: number): void {
    if (this.#heldAt !== undefined) this.#margin.recordHold(now - this.#heldAt);
    this.#heldAt = undefined;
    if (version === undefined) return this.#startGathering(now);
    this.#enterPhase({ kind: "switching", version, map }, now);
  }

  #onSwitched(
    { version, map }: Pick<SwitchAtPass, "version" | "map">,
    now: number,
  ): void {
    this.#effects.recordMapInForce(version);
    if (map === undefined) return this.#startGathering(now);
    this.#enterPhase({ kind: "settled", map }, now);
  }

  #onOrderRejected(event: RankReported): void {
    const { rank, report: { state }, now } = event;
    const rejection = classifyRejection(this.#phase, state);
    switch (rejection.kind) {
      case "give_up_map":
        this.#orders.clear();
        return this.#enterPhase(
          { kind: "settled", map: rejection.previousMap },
          now,
        );
      case "hold_later":
        this.#orders.clear();
        this.#margin.widen();
        return this.#startHolding(rejection, now);
      case "start_over":
        return this.#startOver(event);
      case "postpone":
        return this.#orders.postpone(rank, now);
      case "fence_higher":
        return this.#raiseFenceVersion(rank, now);
      case "ignore":
        return;
      default:
        assertNever(rejection);
    }
  }

  /**
   * Retries a fence with a higher version, since the rank is loading a version that it
   * does not report yet.
   */
  #raiseFenceVersion(rank: number, now: number): void {
    this.#versions.skip();
    const { epoch } = this;
    const version = this.#versions.next();
    this.#orders.open(rank, { kind: "fence", epoch, version }, now);
  }

  #onTick(now: number): void {
    for (const open of this.#orders.takeDue(now)) {
      this.#effects.sendOrder(open, true);
    }
    const { kind } = this.#phase;
    const isGathering = kind === "gathering";
    const intervalMs = isGathering
      ? GATHERING_QUERY_INTERVAL_MS
      : SWITCHING_QUERY_INTERVAL_MS;
    const isQuerying = isGathering || kind === "switching";
    if (!isQuerying || now - this.#queriedAt < intervalMs) return;
    this.#queriedAt = now;
    if (isGathering) return this.#queryUnknownRanks();
    this.#effects.sendQuery(0);
  }

  #startGathering(now: number): void {
    this.#heldAt = undefined;
    this.#orders.clear();
    this.#enterPhase(
      { kind: "gathering", states: new Map(), experts: new Map() },
      now,
    );
    this.#queriedAt = now;
    this.#queryUnknownRanks();
  }

  #queryUnknownRanks(): void {
    const phase = this.#phase;
    if (phase.kind !== "gathering") return;
    for (let rank = 0; rank < this.#ranks; rank++) {
      if (phase.experts.has(rank)) continue;
      this.#effects.sendQuery(rank);
    }
  }

  #enterPhase(phase: DeciderPhase, now: number): void {
    this.#phase = phase;
    const tookMs = now - this.#phaseEnteredAt;
    this.#effects.recordPhase({ phase, epoch: this.#epoch, tookMs });
    this.#phaseEnteredAt = now;
  }

  #sendOrder(rank: number, order: RankOrder, now: number): void {
    this.#effects.sendOrder(this.#orders.open(rank, order, now), false);
  }

  #createPassFields(pass: number) {
    return { epoch: this.#epoch, pass };
  }
}
