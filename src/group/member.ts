/**
 * A rank's member of its group: follows rank 0's decisions and gives the engine
 * its orders. Whatever must survive the process lives in the engine.
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

/** Milliseconds between two questions for a decision. */
export const ASK_INTERVAL_MS = 200;

/** A message of rank 0 arrived. */
export interface CoordinatorSaid {
  readonly kind: "coordinator_said";
  readonly now: number;
  readonly message: CoordinatorMessage;
}

/** The engine answered an order, or said how it stands. */
export interface EngineSaid {
  readonly kind: "engine_said";
  readonly now: number;
  readonly engine: EngineState;
  /** The order that was answered; undefined for a mere report. */
  readonly order?: EngineOrder;
}

/** Time passed. */
export interface MemberTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Everything that can happen to a member. */
export type MemberEvent = CoordinatorSaid | EngineSaid | MemberTick;

/** Say something to rank 0. */
export interface SayToCoordinator {
  readonly kind: "say";
  readonly message: MemberMessage;
}

/** Give the engine an order, with a number that grows with each decider. */
export interface GiveOrder {
  readonly kind: "order";
  readonly order: EngineOrder;
  readonly fencingNumber: number;
}

/** Everything that a member can ask for. */
export type MemberEffect = SayToCoordinator | GiveOrder;

/** A rank's member of its group. */
export class GroupMember {
  /** The decider that is followed; epoch 0 before the first. */
  #decider: Decider = { epoch: 0, decider: "" };
  #engine: EngineState | undefined;
  /** The order that the engine has not answered; orders go one by one. */
  #outstanding: EngineOrder | undefined;
  #waiting: EngineOrder[] = [];
  /** A bind that is answered once the engine's state is certain. */
  #isBindOpen = false;
  #askedAt = Number.NEGATIVE_INFINITY;
  #effects: MemberEffect[] = [];

  /** Number of the decider that is followed. */
  get epoch(): number {
    return this.#decider.epoch;
  }

  /**
   * Takes in one event and returns what is to be done, in order.
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
        this.#coordinatorSaid(event.message);
        break;
      case "engine_said":
        this.#engineSaid(event);
        break;
      case "tick":
        this.#askIfHeld(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#effects;
  }

  #coordinatorSaid(message: CoordinatorMessage): void {
    if (message.kind === "bind") return this.#bind(message);
    if (!this.#isFollowed(message)) {
      return this.#say({ kind: "outdated", ...this.#decider });
    }
    switch (message.kind) {
      case "stage":
        return this.#order(stageOrderOf(message));
      case "prepare":
        return this.#order({
          kind: "hold",
          version: message.version,
          step: message.step,
        });
      case "commit":
        return this.#order({
          kind: "activate",
          version: message.version,
          step: message.step,
        });
      case "abort":
        return this.#order({ kind: "release", version: message.version });
      default:
        assertNever(message);
    }
  }

  #isFollowed(message: Decider): boolean {
    return message.epoch === this.epoch &&
      message.decider === this.#decider.decider;
  }

  /**
   * From here on an earlier decider's late word is refused. An order of its
   * that the engine has not answered may still take effect, so the answer to
   * the bind waits for it: what we tell must not change behind our back.
   */
  #bind(message: BindMessage): void {
    const isLater = message.epoch > this.epoch;
    if (!isLater && !this.#isFollowed(message)) {
      return this.#say({ kind: "outdated", ...this.#decider });
    }
    const { epoch, decider } = message;
    this.#decider = { epoch, decider };
    if (isLater) this.#waiting = [];
    this.#isBindOpen = true;
    this.#answerBind();
  }

  #answerBind(): void {
    if (!this.#isBindOpen || this.#outstanding !== undefined) return;
    if (this.#engine === undefined) return;
    this.#isBindOpen = false;
    this.#sayBound(this.#engine);
  }

  #engineSaid(event: EngineSaid): void {
    const before = this.#engine;
    this.#engine = event.engine;
    const isAnswer = event.order !== undefined &&
      event.order === this.#outstanding;
    if (isAnswer) this.#outstanding = undefined;
    if (isAnswer && !this.#isBindOpen) this.#answered(event);
    const isReplaced = before !== undefined && event.order === undefined &&
      before.incarnation !== event.engine.incarnation;
    // Only rank 0 can begin a new run with the new engine.
    if (isReplaced) this.#sayBound(event.engine);
    this.#answerBind();
    this.#giveNext();
  }

  #answered(event: EngineSaid): void {
    const order = event.order as EngineOrder;
    const { engine } = event;
    const place = { epoch: this.epoch, version: order.version };
    switch (order.kind) {
      case "stage":
      case "assemble":
        if (engine.stagedVersion !== order.version) return;
        return this.#say({ kind: "staged", ...place, step: engine.step });
      case "hold":
        return this.#heldOrTooLate(order, engine);
      case "activate":
      case "release":
        return this.#say({ kind: "applied", ...place });
      default:
        assertNever(order);
    }
  }

  #heldOrTooLate(order: HoldOrder, engine: EngineState): void {
    const { version, step } = order;
    const place = { epoch: this.epoch, version, step };
    const isHeld = engine.holdBefore === step &&
      engine.stagedVersion === version;
    if (isHeld) return this.#say({ kind: "prepared", ...place });
    this.#say({ kind: "too_late", ...place, engineStep: engine.step });
  }

  /** A rank that stands at its promise asks until it knows the decision. */
  #askIfHeld(now: number): void {
    const engine = this.#engine;
    if (engine?.holdBefore === undefined) return;
    if (engine.stagedVersion === undefined) return;
    if (now - this.#askedAt < ASK_INTERVAL_MS) return;
    this.#askedAt = now;
    this.#say({
      kind: "ask",
      epoch: this.epoch,
      version: engine.stagedVersion,
    });
  }

  #order(order: EngineOrder): void {
    const last = this.#waiting.at(-1) ?? this.#outstanding;
    const isRepeated = last !== undefined && isSameOrder(last, order);
    if (isRepeated) return;
    this.#waiting.push(order);
    this.#giveNext();
  }

  #giveNext(): void {
    if (this.#outstanding !== undefined || this.#engine === undefined) return;
    const order = this.#waiting.shift();
    if (order === undefined) return;
    this.#outstanding = order;
    this.#effects.push({ kind: "order", order, fencingNumber: this.epoch });
  }

  #sayBound(engine: EngineState): void {
    this.#say({ kind: "bound", epoch: this.epoch, engine });
  }

  #say(message: MemberMessage): void {
    this.#effects.push({ kind: "say", message });
  }
}

/** Messages are sent again while the engine works; one order is enough. */
function isSameOrder(left: EngineOrder, right: EngineOrder): boolean {
  if (left.kind !== right.kind || left.version !== right.version) return false;
  const hasStep = left.kind === "hold" || left.kind === "activate";
  return !hasStep || left.step === (right as HoldOrder).step;
}

function stageOrderOf(message: StageMessage): EngineOrder {
  const { version, map, assemble } = message;
  if (assemble === undefined) return { kind: "stage", version, map };
  return { kind: "assemble", incarnation: assemble, version, map };
}
