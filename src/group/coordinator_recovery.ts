/**
 * What a decider that starts without memory learns from the engines of all ranks.
 *
 * @module
 */
import type {
  Activation,
  EngineState,
  ExpertMap,
} from "../messages/group_types.ts";

/** What the engines of a group say together. */
export interface RecoveredGroup {
  /** Newest version that any engine knows. */
  readonly version: number;
  /** Number of the newest lock-step run. */
  readonly incarnation: number;
  /** Whether all engines belong to that run. */
  readonly isOneRun: boolean;
  /** Newest switch that was decided; undefined: none that an engine knows. */
  readonly committed: Activation | undefined;
  /** Its map, if an engine has it. */
  readonly map: ExpertMap | undefined;
  /** Newest version that an engine has staged; 0: none. */
  readonly stagedVersion: number;
}

/**
 * Reads the engines of all ranks.
 *
 * @example
 * ```ts
 * const { committed, isOneRun } = recoverGroup([...phase.engines.values()]);
 * ```
 */
export function recoverGroup(engines: readonly EngineState[]): RecoveredGroup {
  const incarnation = Math.max(...engines.map((one) => one.incarnation));
  const committed = findNewestActivation(engines);
  const known = engines.flatMap((one) => one.maps)
    .find((one) => one.version === committed?.version);
  return {
    version: Math.max(...engines.map(getHighestVersion)),
    incarnation,
    isOneRun: engines.every((one) => one.incarnation === incarnation),
    committed,
    map: known?.map,
    stagedVersion: Math.max(0, ...engines.map((one) => one.stagedVersion ?? 0)),
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
    .flatMap((one) => one.activation === undefined ? [] : [one.activation])
    .sort((left, right) => right.version - left.version)[0];
}
