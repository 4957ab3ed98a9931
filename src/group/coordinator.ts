/**
 * The decider at rank 0: switches the group's expert map so that all ranks run each
 * step with the same map.
 *
 * A switch passes through binding, staging and preparing. It is committed, exactly once,
 * after every rank has promised not to begin the switch step without the decision. A
 * decider keeps no state across restarts, so it binds every rank first: an activation at
 * any rank means that the switch was committed; no activation at any rank means that it
 * was not and that no earlier decider can commit it any more.
 *
 * @module
 */
import { assertNever, Debug } from "../core/debug.ts";
import { CoordinatorEffects } from "./coordinator_effects.ts";
import { recoverGroup } from "./coordinator_recovery.ts";
import type {
  BoundMessage,
  Decider,
  ExpertMap,
  PreparedMessage,
  StagedMessage,
  TooLateMessage,
} from "../messages/group_types.ts";
import type {
  Binding,
  CoordinatorEffect,
  CoordinatorEvent,
  Decision,
  GroupCoordinatorOptions,
  MemberMessageReceived,
  Phase,
  Preparing,
  Staging,
} from "./coordinator_types.ts";

/** Milliseconds after which an unanswered message is resent. */
export const RESEND_MS = 200;
/** Milliseconds after which a switch that is not prepared is aborted. */
const SWITCH_TIMEOUT_MS = 30_000;
const INITIAL_MARGIN_STEPS = 16;
const MAX_MARGIN_STEPS = 4096;
/**
 * Number of versions reserved for each epoch. The epoch is part of the version, so two
 * deciders never use the same version, even if neither knows of the other.
 */
const VERSIONS_PER_EPOCH = 2 ** 20;

/** Decides the switches of a group's expert map at rank 0. */
export class GroupCoordinator {
  readonly #ranks: number;
  readonly #decider: string;
  #phase: Phase = { kind: "binding", engines: new Map() };
  #map: ExpertMap;
  /** Number of the current lock-step run. */
  #incarnation = 0;
  /** Highest version that is known. */
  #version = 0;
  #lastDecision: Decision | undefined;
  /** Ranks that have not executed the last decision. */
  readonly #pending = new Set<number>();
  #marginSteps: number;
  #lastSentAt = Number.NEGATIVE_INFINITY;
  readonly #effects: CoordinatorEffects;

  /** Starts without any state of the ranks: the first tick binds every rank. */
  constructor(options: GroupCoordinatorOptions) {
    this.#ranks = options.ranks;
    this.#decider = options.decider;
    this.#effects = new CoordinatorEffects({
      ranks: options.ranks,
      decider: options.decider,
      epoch: options.firstEpoch,
    });
    this.#marginSteps = options.marginSteps ?? INITIAL_MARGIN_STEPS;
    this.#map = options.firstMap;
  }

  /** Whether a proposed map would be accepted. */
  get isIdle(): boolean {
    return this.#phase.kind === "idle" && this.#pending.size === 0;
  }

  /** The map of the last committed switch. */
  get map(): ExpertMap {
    return this.#map;
  }

  /** Epoch of this decider, which orders the deciders of a group. */
  get epoch(): number {
    return this.#effects.epoch;
  }

  /**
   * Processes one event and returns the resulting effects in order.
   *
   * @example
   * ```ts
   * for (const effect of coordinator.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: CoordinatorEvent): readonly CoordinatorEffect[] {
    this.#effects.clear();
    switch (event.kind) {
      case "member_said":
        this.#onMemberMessage(event);
        break;
      case "member_connected":
        this.#effects.sendBind(event.rank);
        break;
      case "map_proposed":
        this.#onMapProposed(event.map, event.now);
        break;
      case "tick":
        this.#onTick(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#effects.all;
  }

  #onMemberMessage(event: MemberMessageReceived): void {
    const { message, rank, now } = event;
    if (message.kind === "outdated") return this.#onOutdated(message, rank);
    if (message.epoch !== this.#effects.epoch) return;
    switch (message.kind) {
      case "bound":
        return this.#onBound(message, rank, now);
      case "staged":
        return this.#onStaged(message, rank, now);
      case "prepared":
        return this.#onPrepared(message, rank);
      case "too_late":
        return this.#onTooLate(message, now);
      case "applied":
        if (message.version === this.#lastDecision?.version) {
          this.#pending.delete(rank);
        }
        return;
      case "ask":
        return this.#onDecisionRequest(message.version, rank);
      default:
        assertNever(message);
    }
  }

  /**
   * Handles a rank that follows another decider or an earlier epoch of this one. If its
   * epoch is at least as high as the current one, this decider continues above it.
   */
  #onOutdated(followed: Decider, rank: number): void {
    const { epoch, decider } = followed;
    if (epoch < this.#effects.epoch) {
      return this.#effects.sendBind(rank);
    }
    if (decider === this.#decider) return;
    this.#effects.epoch = epoch;
    this.#startBinding();
  }

  /** Starts a new epoch, which invalidates all earlier messages in both directions. */
  #startBinding(): void {
    this.#effects.epoch++;
    this.#phase = { kind: "binding", engines: new Map() };
    this.#pending.clear();
    this.#lastDecision = undefined;
    this.#effects.forEachRank((rank) => this.#effects.sendBind(rank));
  }

  #onBound(message: BoundMessage, rank: number, now: number): void {
    const phase = this.#phase;
    switch (phase.kind) {
      case "binding":
        phase.engines.set(rank, message.engine);
        if (phase.engines.size === this.#ranks) this.#recover(phase, now);
        return;
      case "idle":
        if (message.engine.incarnation !== this.#incarnation) {
          return this.#startBinding();
        }
        if (this.#pending.has(rank)) this.#sendDecision(rank);
        return;
      case "staging":
        return this.#onBoundWhileStaging(phase, message, rank);
      case "preparing":
        return this.#onBoundWhilePreparing(phase, message, rank);
      default:
        assertNever(phase);
    }
  }

  #onBoundWhileStaging(
    phase: Staging,
    message: BoundMessage,
    rank: number,
  ): void {
    const isInRun = message.engine.incarnation === this.#incarnation;
    if (phase.assemble === undefined && !isInRun) return this.#startBinding();
    phase.steps.delete(rank);
    this.#effects.sendStage(rank, phase);
  }

  #onBoundWhilePreparing(
    phase: Preparing,
    message: BoundMessage,
    rank: number,
  ): void {
    const isStaged = message.engine.stagedVersion === phase.version;
    if (!isStaged) return this.#startBinding();
    this.#effects.sendPrepare(rank, phase);
  }

  /** Recovers the last decision from the engine states once every rank is bound. */
  #recover(phase: Binding, now: number): void {
    const group = recoverGroup([...phase.engines.values()]);
    const { committed, stagedVersion } = group;
    this.#version = group.version;
    const versionEpoch = Math.floor(this.#version / VERSIONS_PER_EPOCH);
    if (versionEpoch >= this.#effects.epoch) {
      this.#effects.epoch = versionEpoch;
      return this.#startBinding();
    }
    this.#incarnation = group.incarnation;
    if (group.map !== undefined) this.#map = group.map;
    if (!group.isOneRun || committed === undefined) return this.#startRun(now);
    this.#phase = { kind: "idle" };
    if (stagedVersion > committed.version) {
      return this.#decide(stagedVersion, undefined);
    }
    this.#decide(committed.version, committed.step);
  }

  /**
   * Starts a new lock-step run, since an engine is new or no switch was committed yet.
   */
  #startRun(now: number): void {
    this.#incarnation = Math.max(this.#incarnation + 1, this.#effects.epoch);
    this.#startStaging(this.#map, { assemble: this.#incarnation, now });
  }

  #onMapProposed(map: ExpertMap, now: number): void {
    if (!this.isIdle) {
      this.#effects.add({ kind: "proposal_dropped" });
      return;
    }
    this.#startStaging(map, { assemble: undefined, now });
  }

  #startStaging(
    map: ExpertMap,
    options: { readonly assemble: number | undefined; readonly now: number },
  ): void {
    this.#version = Math.max(
      this.#version + 1,
      this.#effects.epoch * VERSIONS_PER_EPOCH,
    );
    const phase: Staging = {
      kind: "staging",
      version: this.#version,
      map,
      assemble: options.assemble,
      startedAt: options.now,
      steps: new Map(),
    };
    this.#phase = phase;
    this.#lastSentAt = options.now;
    this.#effects.forEachRank((rank) => this.#effects.sendStage(rank, phase));
  }

  #onStaged(message: StagedMessage, rank: number, now: number): void {
    const phase = this.#phase;
    if (phase.kind !== "staging" || message.version !== phase.version) return;
    phase.steps.set(rank, message.step);
    if (phase.steps.size < this.#ranks) return;
    const highestStep = Math.max(...phase.steps.values());
    const isNewRun = phase.assemble !== undefined;
    const step = isNewRun ? 0 : highestStep + this.#marginSteps;
    this.#startPreparing(phase, step, now);
  }

  #startPreparing(
    phase: Staging | Preparing,
    step: number,
    now: number,
  ): void {
    const { version, map, assemble, startedAt } = phase;
    const next: Preparing = {
      kind: "preparing",
      version,
      map,
      assemble,
      startedAt,
      step,
      prepared: new Set(),
    };
    this.#phase = next;
    this.#lastSentAt = now;
    this.#effects.forEachRank((rank) => this.#effects.sendPrepare(rank, next));
  }

  #onPrepared(message: PreparedMessage, rank: number): void {
    const phase = this.#phase;
    if (phase.kind !== "preparing" || message.version !== phase.version) return;
    if (message.step !== phase.step) return;
    phase.prepared.add(rank);
    if (phase.prepared.size < this.#ranks) return;
    this.#map = phase.map;
    this.#phase = { kind: "idle" };
    this.#decide(phase.version, phase.step);
  }

  /** Moves the switch to a later step, since a rank had already begun the planned one. */
  #onTooLate(message: TooLateMessage, now: number): void {
    const phase = this.#phase;
    if (phase.kind !== "preparing" || message.version !== phase.version) return;
    if (message.step !== phase.step || phase.assemble !== undefined) return;
    this.#marginSteps = Math.min(MAX_MARGIN_STEPS, this.#marginSteps * 2);
    const step = Math.max(phase.step, message.engineStep) + this.#marginSteps;
    this.#startPreparing(phase, step, now);
  }

  /** Commits a version, or aborts it if `step` is undefined; once for each version. */
  #decide(version: number, step: number | undefined): void {
    Debug.assert(
      this.#lastDecision === undefined || version > this.#lastDecision.version,
      "Each version is decided only once",
    );
    this.#lastDecision = { version, step };
    for (let rank = 0; rank < this.#ranks; rank++) {
      this.#pending.add(rank);
      this.#sendDecision(rank);
    }
    this.#effects.add({
      kind: "switch_decided",
      version,
      isCommitted: step !== undefined,
    });
  }

  #onDecisionRequest(version: number, rank: number): void {
    if (version === this.#lastDecision?.version) {
      return this.#sendDecision(rank);
    }
    const phase = this.#phase;
    if (phase.kind === "binding") return;
    if (phase.kind !== "idle" && phase.version === version) return;
    this.#effects.sendAbort(rank, version);
  }

  #onTick(now: number): void {
    if (now - this.#lastSentAt < RESEND_MS) return;
    this.#lastSentAt = now;
    const phase = this.#phase;
    switch (phase.kind) {
      case "binding":
        return this.#effects.forEachRank((rank) => {
          if (!phase.engines.has(rank)) {
            this.#effects.sendBind(rank);
          }
        });
      case "idle":
        return this.#pending.forEach((rank) => this.#sendDecision(rank));
      case "staging":
      case "preparing":
        return this.#resendOrAbort(phase, now);
      default:
        assertNever(phase);
    }
  }

  /**
   * Resends to the ranks that have not answered; aborts the switch after its timeout. A
   * new run is never aborted, because the group cannot step without it.
   */
  #resendOrAbort(phase: Staging | Preparing, now: number): void {
    const isLate = now - phase.startedAt >= SWITCH_TIMEOUT_MS;
    if (isLate && phase.assemble === undefined) {
      this.#phase = { kind: "idle" };
      return this.#decide(phase.version, undefined);
    }
    this.#effects.forEachRank((rank) => {
      if (phase.kind === "preparing") {
        if (phase.prepared.has(rank)) return;
        this.#effects.sendPrepare(rank, phase);
      } else if (!phase.steps.has(rank)) {
        this.#effects.sendStage(rank, phase);
      }
    });
  }

  #sendDecision(rank: number): void {
    const decision = Debug.getDefined(this.#lastDecision, "A decision exists");
    this.#effects.sendDecision(rank, decision);
  }
}
