/**
 * Simulates target processes: which are up, paused or gone, and the state of each.
 *
 * @module
 */
import type { OwnerTable, ReleasedSlot } from "../target/owner_table.ts";
import { TargetReducer } from "../target/target_reducer.ts";
import { BackEndRuns } from "./back_end_runs.ts";

/** One process of a target; a restart replaces it. */
export interface TargetProcess {
  reducer: TargetReducer;
  incarnation: number;
  isUp: boolean;
  isPaused: boolean;
  goneAt: number | undefined;
  /** The read of the owner table that is in progress. */
  tableRead:
    | { readonly table: OwnerTable; readonly askedAt: number }
    | undefined;
  readonly runs: BackEndRuns;
  isDrained: boolean;
  /**
   * Slots claimed after their previous owner released them, whose keys have not been
   * requested yet.
   */
  claimedSlots: ReleasedSlot[];
}

/** Options of {@link SimulatedTargets}. */
export interface SimulatedTargetsOptions {
  readonly targets: number;
  readonly concurrency?: number;
  readonly queueLength?: number;
  /** Whether answers are streamed rather than held until complete. */
  readonly isStreamed?: boolean;
}

/** The target processes of a simulation. */
export class SimulatedTargets {
  readonly #options: SimulatedTargetsOptions;
  readonly #processes: TargetProcess[] = [];

  /** Starts all processes; `now` is in milliseconds of the virtual clock. */
  constructor(options: SimulatedTargetsOptions, now: number) {
    this.#options = options;
    for (let target = 0; target < options.targets; target++) {
      this.#processes.push(this.#create(1, now));
    }
  }

  /** All processes, by the number of their target. */
  get all(): readonly TargetProcess[] {
    return this.#processes;
  }

  /** Returns the process of a target. */
  get(target: number): TargetProcess {
    return this.#processes[target] as TargetProcess;
  }

  /** Returns a target's number by its name, or -1. */
  findNumber(name: string | undefined): number {
    return this.#processes.findIndex((_, target) =>
      getTargetName(target) === name
    );
  }

  /** Replaces the process of a target by a new one with empty state. */
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
      tableRead: undefined,
      runs: new BackEndRuns(this.#options.isStreamed === true),
      isDrained: false,
      claimedSlots: [],
    };
  }
}

/** Returns the name of a target, which is also its address. */
export function getTargetName(target: number): string {
  return `target-${target}`;
}
