/**
 * The target processes of a world under faults: which are up, paused or gone, and what
 * each has of its own.
 *
 * @module
 */
import type { OwnerTable, ReleasedSlot } from "../target/owner_table.ts";
import { TargetReducer } from "../target/target_reducer.ts";
import { BackEndRuns } from "./back_end_runs.ts";

/** One process of a target; a restart makes another. */
export interface TargetProcess {
  reducer: TargetReducer;
  incarnation: number;
  isUp: boolean;
  isPaused: boolean;
  goneAt: number | undefined;
  /** A read of the owner table that is under way. */
  read: { readonly table: OwnerTable; readonly askedAt: number } | undefined;
  readonly runs: BackEndRuns;
  isDrained: boolean;
  /** Slots taken from one who released them, whose keys were not asked for. */
  taken: ReleasedSlot[];
}

/** Options of {@link WorldTargets}. */
export interface WorldTargetsOptions {
  readonly targets: number;
  readonly concurrency?: number;
  readonly queueLength?: number;
  /** Whether answers are streamed rather than held until whole. */
  readonly isStreamed?: boolean;
}

/** The target processes of a world. */
export class WorldTargets {
  readonly #options: WorldTargetsOptions;
  readonly #processes: TargetProcess[] = [];

  /** All are up; `now` is in milliseconds of the virtual clock. */
  constructor(options: WorldTargetsOptions, now: number) {
    this.#options = options;
    for (let target = 0; target < options.targets; target++) {
      this.#processes.push(this.#create(1, now));
    }
  }

  /** All processes, by the number of their target. */
  get all(): readonly TargetProcess[] {
    return this.#processes;
  }

  /** The process of a target. */
  get(target: number): TargetProcess {
    return this.#processes[target] as TargetProcess;
  }

  /** A target's number by its name, or -1. */
  findNumber(name: string | undefined): number {
    return this.#processes.findIndex((_, target) => nameOf(target) === name);
  }

  /** A process without memory takes the place of a target's one before. */
  restart(target: number, now: number): void {
    const { incarnation } = this.get(target);
    this.#processes[target] = this.#create(incarnation + 1, now);
  }

  #create(incarnation: number, now: number): TargetProcess {
    return {
      reducer: new TargetReducer({
        limits: {
          concurrency: this.#options.concurrency ?? 2,
          queueLength: this.#options.queueLength ?? 4,
          ledgerLength: 1000,
          keptAnswerBytes: 1000,
          keptBytes: 100_000,
          gatherMs: 20,
        },
        now,
      }),
      incarnation,
      isUp: true,
      isPaused: false,
      goneAt: undefined,
      read: undefined,
      runs: new BackEndRuns(this.#options.isStreamed === true),
      isDrained: false,
      taken: [],
    };
  }
}

/** The name of a target, which is also its address. */
export function nameOf(target: number): string {
  return `target-${target}`;
}
