/**
 * Decides the expert map of a formed group, in the process beside rank 0; and beside
 * the holder, ends a switch that nobody else does.
 *
 * The ranks prepare a map; the holder's engine holds the pass of the switch, so that the
 * group cannot begin it; then the holder is armed, which decides the switch, and only
 * then the others; when every rank is seen to be armed, the pass may begin.
 *
 * Whoever finds a held pass reads from the holder's engine alone what to do. If it is
 * armed, all others are armed and the pass begins with the new map. If it is not, no
 * rank is: its engine is fenced, so that it cannot be armed for that pass any more, and
 * the pass begins with the old map. Armed and fenced each last until the pass begins, and
 * an engine is never both. So any number of processes may do this at once, each may end
 * at any moment, and no order is harmful when it is carried out late.
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
import { recordGathered, tryGetSettledMap } from "./gathered_ranks.ts";
import { readHeldPass } from "./held_pass.ts";
import { HoldMargin } from "./hold_margin.ts";
import { classifyRejection, hasStrayHold } from "./judge_report.ts";
import { MapVersions } from "./map_versions.ts";
import { OpenOrders } from "./open_orders.ts";
import { PassTimes } from "./pass_times.ts";
import {
  getHolderRank,
  type RankOrder,
  type RankState,
} from "../../messages/formed_group_types.ts";

/** Milliseconds between two questions to ranks of which it is unknown what they hold. */
const GATHERING_QUERY_INTERVAL_MS = 250;
/** Milliseconds between two looks at a group that has yet to begin a pass. */
const SWITCHING_QUERY_INTERVAL_MS = 40;
/** Weight of the newest report in the mean time of a pass. */
const PASS_SMOOTHING = 0.4;

/** Decides the expert map of a formed group. */
export class FormedGroupDecider {
  readonly #ranks: number;
  readonly #holder: number;
  #epoch: number;
  /** The last pass of this epoch that any rank is known to have begun. */
  #lastPass: number;
  /** The same of each rank by itself. */
  readonly #lastPassByRank = new Map<number, number>();
  #phase: DeciderPhase;
  #phaseEnteredAt: number;
  readonly #versions: MapVersions;
  readonly #margin = new HoldMargin();
  readonly #passTimes = new PassTimes(PASS_SMOOTHING);
  /** When the pass of the switch under way was to be held; undefined: by another. */
  #heldAt: number | undefined;
  readonly #orders: OpenOrders;
  #queriedAt = Number.NEGATIVE_INFINITY;
  readonly #effects = new DeciderEffects();

  /** Knows nothing of the other ranks yet: the first tick asks them. */
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

  /** The map in force, when no switch is under way. */
  get settledMap(): ExpertMap | undefined {
    return this.#phase.kind === "settled" ? this.#phase.map : undefined;
  }

  /** Mean time of the last passes in milliseconds; undefined before two reports. */
  get passMs(): number | undefined {
    return this.#passTimes.meanMs;
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
   * An engine tells other machines its state as it was a while ago, and the process
   * beside it as it is. What an older state holds may have ended since.
   */
  #isStale(rank: number, state: RankState): boolean {
    return state.pass < (this.#lastPassByRank.get(rank) ?? 0);
  }

  /** Asks all ranks, and takes what this one says of a held pass. */
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

  /** A held pass is dealt with first; without one, every rank is to be known. */
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
          // Another pass may still be held for another switch meanwhile.
          if (held.isAwaited) this.#startFencing(held.pass, now);
          return;
        default:
          assertNever(held);
      }
    }
    recordGathered(phase, event);
    const map = tryGetSettledMap(phase, this.#ranks);
    if (map !== undefined) this.#enterPhase({ kind: "settled", map }, now);
  }

  #onMapProposed({ map, passPauseRatio: passPart, now }: MapProposed): void {
    if (this.#phase.kind !== "settled") return;
    const version = this.#versions.next();
    this.#margin.startSwitch(this.#passTimes.meanMs, passPart);
    const before = this.#phase.map;
    this.#enterPhase({ kind: "preparing", version, map, before }, now);
    for (let rank = 0; rank < this.#ranks; rank++) {
      const { epoch } = this;
      this.#sendOrder(rank, { kind: "prepare", epoch, version, map }, now);
    }
  }

  /**
   * Two passes ahead at least. A pass that was given up had all before it begun, so it
   * is never held for another switch, which a late order to let it go could harm.
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
          { kind: "settled", map: rejection.before },
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

  /** A version that the rank loads is not told yet, and was higher. */
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
    const lookMs = isGathering
      ? GATHERING_QUERY_INTERVAL_MS
      : SWITCHING_QUERY_INTERVAL_MS;
    const isLooking = isGathering || kind === "switching";
    if (!isLooking || now - this.#queriedAt < lookMs) return;
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
