/**
 * Provides a fake engine of one rank, for groups that the platform forms.
 *
 * @module
 */
import type {
  ArmedSwitch,
  EngineOrder,
  RankState,
} from "../messages/formed_group_types.ts";
import type { ExpertMap } from "../messages/group_types.ts";

interface LoadedMap {
  readonly version: number;
  /** Undefined: the first map of an epoch. */
  readonly map: ExpertMap | undefined;
}

const FIRST_MAP: LoadedMap = { version: 0, map: undefined };

/** A fake engine; the caller drives the group's passes. */
export class FakeFormedEngine {
  readonly #rank: number;
  readonly #ranks: number;
  #epoch = 1;
  #pass = 0;
  #highestVersion = 0;
  #active = FIRST_MAP;
  #prepared: LoadedMap | undefined;
  #isLoaded = false;
  #armed: ArmedSwitch | undefined;
  #heldPass: number | undefined;

  /** Creates an engine of a group in its first epoch. */
  constructor(rank: number, ranks: number) {
    this.#rank = rank;
    this.#ranks = ranks;
  }

  /** The state that the engine reports. */
  get state(): RankState {
    return {
      group: "group",
      epoch: this.#epoch,
      rank: this.#rank,
      ranks: this.#ranks,
      isOpen: true,
      pass: this.#pass,
      activeVersion: this.#active.version,
      preparedVersion: this.#isLoaded ? this.#prepared?.version : undefined,
      armed: this.#armed,
      heldPass: this.#heldPass,
      running: 1,
      queued: 0,
      pace: 1,
    };
  }

  /** The map in use. */
  get active(): LoadedMap {
    return this.#active;
  }

  /** Returns whether the group may begin a pass, which this engine must not hold. */
  mayBeginPass(pass: number): boolean {
    return this.#heldPass !== pass;
  }

  /** Begins a pass. */
  beginPass(pass: number): void {
    this.#pass = pass;
    if (this.#armed?.pass !== pass) return;
    this.#active = this.#prepared as LoadedMap;
    this.#prepared = undefined;
    this.#isLoaded = false;
    this.#armed = undefined;
  }

  /** Completes loading a map. */
  finishLoading(version: number): void {
    if (this.#prepared?.version === version) this.#isLoaded = true;
  }

  /** Forms the group again, which starts the next epoch. */
  formAgain(): void {
    this.#epoch++;
    this.#pass = 0;
    this.#active = FIRST_MAP;
    this.#prepared = undefined;
    this.#isLoaded = false;
    this.#armed = undefined;
    this.#heldPass = undefined;
  }

  /** Executes an order. Returns false if it does not fit the state. */
  execute(order: EngineOrder): boolean {
    if (order.epoch !== this.#epoch) return false;
    switch (order.kind) {
      case "prepare":
        return this.#prepare(order.version, order.map);
      case "hold":
        return this.#hold(order.pass);
      case "arm":
        return this.#arm(order);
      case "go":
        if (this.#heldPass === order.pass) this.#heldPass = undefined;
        return true;
    }
  }

  #prepare(version: number, map: ExpertMap): boolean {
    if (version <= this.#highestVersion) return false;
    if (this.#armed !== undefined) return false;
    this.#highestVersion = version;
    this.#prepared = { version, map };
    this.#isLoaded = false;
    return true;
  }

  #hold(pass: number): boolean {
    if (pass <= this.#pass || this.#heldPass !== undefined) return false;
    this.#heldPass = pass;
    return true;
  }

  #arm(wanted: ArmedSwitch): boolean {
    const isPrepared = this.#isLoaded &&
      this.#prepared?.version === wanted.version;
    if (!isPrepared || wanted.pass <= this.#pass) return false;
    this.#armed = { version: wanted.version, pass: wanted.pass };
    return true;
  }
}
