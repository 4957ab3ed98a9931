/**
 * Provides a fake engine of a rank group, for tests of the switch of maps.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type {
  EngineOrder,
  EngineState,
  ExpertMap,
  VersionedMap,
} from "../messages/group_types.ts";

/** The state of a new engine. */
const FRESH_ENGINE: EngineState = {
  incarnation: 0,
  step: 0,
  activeVersion: 0,
  stagedVersion: undefined,
  holdBefore: undefined,
  activation: undefined,
  maps: [],
};

/** A fake engine that optionally checks fencing numbers. */
export class FakeEngine {
  #state: EngineState = FRESH_ENGINE;
  #fencingNumber = 0;
  readonly #checksFencing: boolean;

  /** Creates an engine that has no map and belongs to no incarnation of the group. */
  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** The state that the engine reports. */
  get state(): EngineState {
    return this.#state;
  }

  /**
   * Returns the map of the next step, or undefined if the engine may not begin the step.
   */
  tryGetNextMap(): VersionedMap | undefined {
    const { holdBefore, step, maps } = this.#state;
    if (holdBefore !== undefined && step >= holdBefore) return undefined;
    const { activation, activeVersion } = this.#state;
    const isDue = activation !== undefined && step >= activation.step;
    const version = isDue ? activation.version : activeVersion;
    return maps.find((one) => one.version === version);
  }

  /** Runs one step. */
  runStep(): void {
    const version = this.tryGetNextMap()?.version ?? 0;
    this.#state = {
      ...this.#state,
      step: this.#state.step + 1,
      activeVersion: version,
    };
  }

  /** Executes an order, or ignores it if its fencing number is too low. */
  execute(order: EngineOrder, fencingNumber: number): void {
    if (this.#checksFencing && fencingNumber < this.#fencingNumber) return;
    this.#fencingNumber = Math.max(fencingNumber, this.#fencingNumber);
    switch (order.kind) {
      case "stage":
        return this.#stage(order.version, order.map);
      case "assemble":
        return this.#assemble(order);
      case "hold":
        return this.#hold(order.version, order.step);
      case "activate":
        return this.#activate(order.version, order.step);
      case "release":
        return this.#release(order.version);
      default:
        assertNever(order);
    }
  }

  #stage(version: number, map: ExpertMap): void {
    this.#state = {
      ...this.#state,
      stagedVersion: version,
      maps: this.#withMap({ version, map }),
    };
  }

  #assemble(order: Extract<EngineOrder, { kind: "assemble" }>): void {
    if (order.incarnation <= this.#state.incarnation) return;
    this.#state = {
      ...FRESH_ENGINE,
      incarnation: order.incarnation,
      stagedVersion: order.version,
      holdBefore: 0,
      maps: [{ version: order.version, map: order.map }],
    };
  }

  #hold(version: number, step: number): void {
    const { stagedVersion, step: nextStep } = this.#state;
    if (stagedVersion !== version || nextStep > step) return;
    this.#state = { ...this.#state, holdBefore: step };
  }

  #activate(version: number, step: number): void {
    if (this.#state.stagedVersion !== version) return;
    this.#state = {
      ...this.#state,
      stagedVersion: undefined,
      holdBefore: undefined,
      activation: { version, step },
    };
  }

  #release(version: number): void {
    if (this.#state.stagedVersion !== version) return;
    this.#state = {
      ...this.#state,
      stagedVersion: undefined,
      holdBefore: undefined,
    };
  }

  #withMap(added: VersionedMap): readonly VersionedMap[] {
    const { maps, activeVersion, activation } = this.#state;
    const usedMaps = maps.filter((one) =>
      one.version === activeVersion || one.version === activation?.version
    );
    return [...usedMaps.filter((one) => one.version !== added.version), added];
  }
}
