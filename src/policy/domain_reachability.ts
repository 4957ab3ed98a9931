/**
 * Which failure domains an entry cannot reach now.
 *
 * The pattern: a failure domain is cut off from the others while callers still reach the
 * entries in it. Targets on the other side stay listed and serve other callers. Each request
 * that is sent there waits for the connection timeout, and so do its retry and the request
 * with which its caller returns; together they take most of the time that the caller had.
 *
 * A domain counts as unreachable after connections to several of its targets have failed
 * without an answer of any target there in between. From then on a request that only targets
 * there could serve is refused or waits as in any other outage, and probes find its end.
 *
 * @module
 */

/**
 * Targets to which connections must fail without an answer of the domain in between. One or
 * two may have crashed by themselves.
 */
const FEWEST_FAILED_TARGETS = 3;
/** Milliseconds after which a failed connection says nothing any more. */
const FAILURE_MEMORY_MS = 1500;
/**
 * Milliseconds between the first and the last of these failures, at least: connections that
 * fail at one moment may have been made while this process stood still.
 */
const LEAST_SPAN_MS = 100;
/**
 * Milliseconds that a connection takes to fail, at least, where nothing answers. One that
 * fails sooner was refused by its host, which is reached.
 */
const LEAST_TIMEOUT_MS = 200;
/**
 * Milliseconds between two probes where no other target could serve the request. Each costs
 * one request the time limit of a connection, and the end of the outage is found that much
 * later at most.
 */
const PROBE_INTERVAL_MS = 250;
/** The same while targets of other failure domains serve: the end is less urgent. */
const PROBE_INTERVAL_BESIDE_OTHERS_MS = 2000;

/** A target as far as its place counts. */
export interface TargetPlace {
  readonly name: string;
  readonly pool: string;
  readonly failureDomain: string;
}

/** An attempt whose connection failed. */
export interface FailedConnection {
  /** Milliseconds after which it failed. */
  readonly tookMs: number;
  readonly now: number;
}

interface DomainState {
  /** When a connection to each target failed last, in milliseconds. */
  readonly failedAt: Map<string, number>;
  isUnreachable: boolean;
  /** When the last request of each pool was sent there as a probe, in milliseconds. */
  readonly probedAt: Map<string, number>;
}

/** Which failure domains an entry cannot reach now. */
export class DomainReachability {
  readonly #states = new Map<string, DomainState>();

  /** Names of the failure domains that cannot be reached. */
  get unreachable(): readonly string[] {
    return [...this.#states]
      .filter(([, { isUnreachable }]) => isUnreachable)
      .map(([failureDomain]) => failureDomain);
  }

  /**
   * A connection to a target could not be made; returns whether its failure domain is
   * unreachable since.
   *
   * @example
   * ```ts
   * const failed = { tookMs: 400, now };
   * if (reachability.noteFailed(target, failed)) log("DOMAIN_UNREACHABLE");
   * ```
   */
  noteFailed(
    { name, failureDomain }: TargetPlace,
    { tookMs, now }: FailedConnection,
  ): boolean {
    if (tookMs < LEAST_TIMEOUT_MS) return false;
    const state = this.#states.get(failureDomain) ?? createState();
    this.#states.set(failureDomain, state);
    state.failedAt.set(name, now);
    for (const [target, at] of state.failedAt) {
      if (now - at > FAILURE_MEMORY_MS) state.failedAt.delete(target);
    }
    const becomesUnreachable = !state.isUnreachable &&
      state.failedAt.size >= FEWEST_FAILED_TARGETS &&
      now - Math.min(...state.failedAt.values()) >= LEAST_SPAN_MS;
    if (becomesUnreachable) state.isUnreachable = true;
    return becomesUnreachable;
  }

  /** A target said something; returns whether its failure domain was unreachable. */
  noteReached({ failureDomain }: TargetPlace): boolean {
    const wasUnreachable =
      this.#states.get(failureDomain)?.isUnreachable === true;
    this.#states.delete(failureDomain);
    return wasUnreachable;
  }

  /**
   * The targets that may be sent a request, some of them perhaps as a probe; `now` is in
   * milliseconds.
   *
   * @example
   * ```ts
   * const candidates = reachability.filter(targets, now);
   * ```
   */
  filter<Target extends TargetPlace>(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    if (this.#states.size === 0) return targets;
    const hasReachable = targets.some((target) => this.#isReachable(target));
    const intervalMs = hasReachable
      ? PROBE_INTERVAL_BESIDE_OTHERS_MS
      : PROBE_INTERVAL_MS;
    return targets.filter((target) =>
      this.#isReachable(target) || this.#isProbeDue(target, intervalMs, now)
    );
  }

  /** A request goes to a target. */
  noteSent({ pool, failureDomain }: TargetPlace, now: number): void {
    this.#states.get(failureDomain)?.probedAt.set(pool, now);
  }

  #isReachable({ failureDomain }: TargetPlace): boolean {
    return this.#states.get(failureDomain)?.isUnreachable !== true;
  }

  #isProbeDue(
    { pool, failureDomain }: TargetPlace,
    intervalMs: number,
    now: number,
  ): boolean {
    const probedAt = this.#states.get(failureDomain)?.probedAt.get(pool);
    return probedAt === undefined || now - probedAt >= intervalMs;
  }
}

function createState(): DomainState {
  return {
    failedAt: new Map(),
    isUnreachable: false,
    probedAt: new Map(),
  };
}
