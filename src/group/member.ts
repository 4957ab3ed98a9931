/**
 * The member at each rank of a group: executes the decisions of rank 0 by sending orders
 * to the rank's engine. All state that must survive a restart is kept by the engine.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type {
  BindMessage,
  CoordinatorMessage,
  Decider,
  EngineOrder,
  EngineState,
  HoldOrder,
  MemberMessage,
  StageMessage,
} from "../messages/group_types.ts";

/** Milliseconds between two requests for a decision. */
export const DECISION_REQUEST_INTERVAL_MS = 200;

/** A message of rank 0 was received. */
export interface CoordinatorMessageReceived {
  readonly kind: "coordinator_said";
  readonly now: number;
  readonly message: CoordinatorMessage;
}

/** The engine answered an order or reported its state. */
export interface EngineStateReceived {
  readonly kind: "engine_said";
  readonly now: number;
  readonly engine: EngineState;
  /** The order that was answered; undefined for a state that was polled. */
  readonly order?: EngineOrder;
}

/** Time passed. */
export interface MemberTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Input events of a member. */
export type MemberEvent =
  | CoordinatorMessageReceived
  | EngineStateReceived
  | MemberTick;

/** Sends a message to rank 0. */
export interface SendToCoordinator {
  readonly kind: "say";
  readonly message: MemberMessage;
}

/** Sends an order to the engine, with the epoch of its decider as fencing number. */
export interface SendEngineOrder {
  readonly kind: "order";
  readonly order: EngineOrder;
  readonly fencingNumber: number;
}

/** Output effects of a member. */
export type MemberEffect = SendToCoordinator | SendEngineOrder;

/** Executes the decisions of rank 0 at one rank. */
export class GroupMember {
  /** The decider that this member follows; epoch 0 before the first. */
  #decider: Decider = { epoch: 0, decider: "" };
  #engine: EngineState | undefined;
  /** The order that the engine has not answered; only one is sent at a time. */
  #pendingOrder: EngineOrder | undefined;
  #queuedOrders: EngineOrder[] = [];
  /** Whether a bind message is to be answered once no order is pending. */
  #isBindPending = false;
  #decisionRequestedAt = Number.NEGATIVE_INFINITY;
  #effects: MemberEffect[] = [];

  /** Epoch of the decider that this member follows. */
  get epoch(): number {
    return this.#decider.epoch;
  }

  /**
   * Processes one event and returns the resulting effects in order.
   *
   * @example
   * ```ts
   * for (const effect of member.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: MemberEvent): readonly MemberEffect[] {
    this.#effects = [];
    switch (event.kind) {
      case "coordinator_said":
        this.#onCoordinatorMessage(event.message);
        break;
      case "engine_said":
        this.#onEngineState(event);
        break;
      case "tick":
        this.#requestDecisionIfHeld(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#effects;
  }

  #onCoordinatorMessage(message: CoordinatorMessage): void {
    if (message.kind === "bind") return this.#onBind(message);
    if (!this.#isCurrentDecider(message)) {
      return this.#send({ kind: "outdated", ...this.#decider });
    }
    switch (message.kind) {
      case "stage":
        return this.#enqueueOrder(createStageOrder(message));
      case "prepare":
        return this.#enqueueOrder({
          kind: "hold",
          version: message.version,
          step: message.step,
        });
      case "commit":
        return this.#enqueueOrder({
          kind: "activate",
          version: message.version,
          step: message.step,
        });
      case "abort":
        return this.#enqueueOrder({
          kind: "release",
          version: message.version,
        });
      default:
        assertNever(message);
    }
  }

  #isCurrentDecider(message: Decider): boolean {
    return message.epoch === this.epoch &&
      message.decider === this.#decider.decider;
  }

  /**
   * Follows a new decider and rejects late messages of earlier ones from now on. An
   * earlier decider's order that the engine has not answered may still take effect, so
   * the bind is answered only after it: the reported state must not change afterwards.
   */
  #onBind(message: BindMessage): void {
    const isLater = message.epoch > this.epoch;
    if (!isLater && !this.#isCurrentDecider(message)) {
      return this.#send({ kind: "outdated", ...this.#decider });
    }
    const { epoch, decider } = message;
    this.#decider = { epoch, decider };
    if (isLater) this.#queuedOrders = [];
    this.#isBindPending = true;
    this.#tryAnswerBind();
  }

  #tryAnswerBind(): void {
    if (!this.#isBindPending || this.#pendingOrder !== undefined) return;
    if (this.#engine === undefined) return;
    this.#isBindPending = false;
    this.#sendBound(this.#engine);
  }

  #onEngineState(event: EngineStateReceived): void {
    const previous = this.#engine;
    this.#engine = event.engine;
    const isAnswer = event.order !== undefined &&
      event.order === this.#pendingOrder;
    if (isAnswer) this.#pendingOrder = undefined;
    if (isAnswer && !this.#isBindPending) this.#onOrderAnswered(event);
    const isReplaced = previous !== undefined && event.order === undefined &&
      previous.incarnation !== event.engine.incarnation;
    // Rank 0 has to start a new run with the new engine.
    if (isReplaced) this.#sendBound(event.engine);
    this.#tryAnswerBind();
    this.#sendNextOrder();
  }

  #onOrderAnswered(event: EngineStateReceived): void {
    const order = event.order as EngineOrder;
    const { engine } = event;
    const header = { epoch: this.epoch, version: order.version };
    switch (order.kind) {
      case "stage":
      case "assemble":
        if (engine.stagedVersion !== order.version) return;
        return this.#send({ kind: "staged", ...header, step: engine.step });
      case "hold":
        return this.#sendHoldResult(order, engine);
      case "activate":
      case "release":
        return this.#send({ kind: "applied", ...header });
      default:
        assertNever(order);
    }
  }

  #sendHoldResult(order: HoldOrder, engine: EngineState): void {
    const { version, step } = order;
    const header = { epoch: this.epoch, version, step };
    const isHeld = engine.holdBefore === step &&
      engine.stagedVersion === version;
    if (isHeld) return this.#send({ kind: "prepared", ...header });
    this.#send({ kind: "too_late", ...header, engineStep: engine.step });
  }

  /** Requests the decision repeatedly while the engine holds before a switch step. */
  #requestDecisionIfHeld(now: number): void {
    const engine = this.#engine;
    if (engine?.holdBefore === undefined) return;
    if (engine.stagedVersion === undefined) return;
    if (now - this.#decisionRequestedAt < DECISION_REQUEST_INTERVAL_MS) return;
    this.#decisionRequestedAt = now;
    this.#send({
      kind: "ask",
      epoch: this.epoch,
      version: engine.stagedVersion,
    });
  }

  #enqueueOrder(order: EngineOrder): void {
    const last = this.#queuedOrders.at(-1) ?? this.#pendingOrder;
    const isRepeated = last !== undefined && isSameOrder(last, order);
    if (isRepeated) return;
    this.#queuedOrders.push(order);
    this.#sendNextOrder();
  }

  #sendNextOrder(): void {
    if (this.#pendingOrder !== undefined || this.#engine === undefined) return;
    const order = this.#queuedOrders.shift();
    if (order === undefined) return;
    this.#pendingOrder = order;
    this.#effects.push({ kind: "order", order, fencingNumber: this.epoch });
  }

  #sendBound(engine: EngineState): void {
    this.#send({ kind: "bound", epoch: this.epoch, engine });
  }

  #send(message: MemberMessage): void {
    this.#effects.push({ kind: "say", message });
  }
}

/** Detects orders of resent messages, which need not be sent to the engine again. */
function isSameOrder(left: EngineOrder, right: EngineOrder): boolean {
  if (left.kind !== right.kind || left.version !== right.version) return false;
  const hasStep = left.kind === "hold" || left.kind === "activate";
  return !hasStep || left.step === (right as HoldOrder).step;
}

function createStageOrder(message: StageMessage): EngineOrder {
  const { version, map, assemble } = message;
  if (assemble === undefined) return { kind: "stage", version, map };
  return { kind: "assemble", incarnation: assemble, version, map };
}
