/**
 * Recovers the state of a group from the engines of all ranks when a decider starts.
 *
 * @module
 */
import type {
  Activation,
  EngineState,
  ExpertMap,
} from "../messages/group_types.ts";

/** State of a group as its engines report it together. */
export interface RecoveredGroup {
  /** Highest version that any engine knows. */
  readonly version: number;
  /** Number of the newest lock-step run. */
  readonly incarnation: number;
  /** Whether all engines belong to that run. */
  readonly isOneRun: boolean;
  /** Newest committed switch; undefined if no engine knows one. */
  readonly committed: Activation | undefined;
  /** Map of the newest committed switch, if an engine has it. */
  readonly map: ExpertMap | undefined;
  /** Highest version that an engine has staged; 0 if there is none. */
  readonly stagedVersion: number;
}

/**
 * Combines the states of all engines of a group.
 *
 * @example
 * ```ts
 * const { committed, isOneRun } = recoverGroup([...phase.engines.values()]);
 * ```
 */
export function recoverGroup(engines: readonly EngineState[]): RecoveredGroup {
  const incarnation = Math.max(...engines.map((engine) => engine.incarnation));
  const committed = findNewestActivation(engines);
  const newest = engines.flatMap((engine) => engine.maps)
    .find((candidate) => candidate.version === committed?.version);
  return {
    version: Math.max(...engines.map(getHighestVersion)),
    incarnation,
    isOneRun: engines.every((engine) => engine.incarnation === incarnation),
    committed,
    map: newest?.map,
    stagedVersion: Math.max(
      0,
      ...engines.map((engine) => engine.stagedVersion ?? 0),
    ),
  };
}

function getHighestVersion(engine: EngineState): number {
  return Math.max(
    engine.activeVersion,
    engine.stagedVersion ?? 0,
    engine.activation?.version ?? 0,
  );
}

function findNewestActivation(
  engines: readonly EngineState[],
): Activation | undefined {
  return engines
    .flatMap((engine) =>
      engine.activation === undefined ? [] : [engine.activation]
    )
    .sort((left, right) => right.version - left.version)[0];
}
