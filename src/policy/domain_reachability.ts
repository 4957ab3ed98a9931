/**
 * Tracks which failure domains an entry cannot reach.
 *
 * When a network partition cuts off a failure domain, callers still reach the entries in
 * it. Targets on the other side stay listed and serve other callers. Each request that is
 * sent to them waits for the connection timeout, and so do its retry by the entry and the
 * later retry by its caller; together they use up most of the caller's time.
 *
 * A domain counts as unreachable after connections to several of its targets have failed
 * and none of its targets has answered in between. From then on a request that only its
 * targets could serve is refused or waits as in any other outage, and probes detect the
 * end.
 *
 * @module
 */

/**
 * Minimum number of targets to which connections have failed without an answer from the
 * domain in between. One or two targets may have crashed on their own.
 */
const MIN_FAILED_TARGETS = 3;
/** Milliseconds after which a failed connection is ignored. */
const FAILURE_WINDOW_MS = 1500;
/**
 * Minimum milliseconds between the first and the last of these failures. Connections that
 * fail at the same moment may have timed out while this process was frozen.
 */
const MIN_FAILURE_SPAN_MS = 100;
/**
 * Minimum milliseconds that a connection takes to fail if the host does not answer. A
 * connection that fails sooner was refused by its host, which is therefore reachable.
 */
const MIN_TIMEOUT_MS = 200;
/**
 * Milliseconds between two probes if no other target could serve the request. Each probe
 * costs one request the connection timeout, and the end of the outage is detected at most
 * this much later.
 */
const PROBE_INTERVAL_MS = 250;
/**
 * The same while targets of other failure domains can serve, where detecting the end is
 * less urgent.
 */
const RELAXED_PROBE_INTERVAL_MS = 2000;

/** A target and the failure domain it is in. */
export interface TargetLocation {
  readonly name: string;
  readonly pool: string;
  readonly failureDomain: string;
}

/** An attempt whose connection failed. */
export interface FailedConnection {
  /** Milliseconds from the start of the connection to its failure. */
  readonly tookMs: number;
  readonly now: number;
}

interface DomainState {
  /** When a connection to each target last failed, in milliseconds. */
  readonly failedAt: Map<string, number>;
  isUnreachable: boolean;
  /** When a request of each pool was last sent as a probe, in milliseconds. */
  readonly probedAt: Map<string, number>;
}

/** Tracks which failure domains an entry cannot reach. */
export class DomainReachability {
  readonly #states = new Map<string, DomainState>();

  /** Names of the unreachable failure domains. */
  get unreachable(): readonly string[] {
    return [...this.#states]
      .filter(([, { isUnreachable }]) => isUnreachable)
      .map(([failureDomain]) => failureDomain);
  }

  /**
   * Records a failed connection to a target; returns whether its failure domain has
   * become unreachable by it.
   *
   * @example
   * ```ts
   * const failed = { tookMs: 400, now };
   * if (reachability.recordFailed(target, failed)) log("DOMAIN_UNREACHABLE");
   * ```
   */
  recordFailed(
    { name, failureDomain }: TargetLocation,
    { tookMs, now }: FailedConnection,
  ): boolean {
    if (tookMs < MIN_TIMEOUT_MS) return false;
    const state = this.#states.get(failureDomain) ?? createState();
    this.#states.set(failureDomain, state);
    state.failedAt.set(name, now);
    for (const [target, at] of state.failedAt) {
      if (now - at > FAILURE_WINDOW_MS) state.failedAt.delete(target);
    }
    const becomesUnreachable = !state.isUnreachable &&
      state.failedAt.size >= MIN_FAILED_TARGETS &&
      now - Math.min(...state.failedAt.values()) >= MIN_FAILURE_SPAN_MS;
    if (becomesUnreachable) state.isUnreachable = true;
    return becomesUnreachable;
  }

  /**
   * Records a message from a target; returns whether its failure domain was unreachable.
   */
  recordReached({ failureDomain }: TargetLocation): boolean {
    const wasUnreachable =
      this.#states.get(failureDomain)?.isUnreachable === true;
    this.#states.delete(failureDomain);
    return wasUnreachable;
  }

  /**
   * Returns the targets that may be sent a request, including those due for a probe;
   * `now` is in milliseconds.
   *
   * @example
   * ```ts
   * const candidates = reachability.filter(targets, now);
   * ```
   */
  filter<Target extends TargetLocation>(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    if (this.#states.size === 0) return targets;
    const hasReachable = targets.some((target) => this.#isReachable(target));
    const intervalMs = hasReachable
      ? RELAXED_PROBE_INTERVAL_MS
      : PROBE_INTERVAL_MS;
    return targets.filter((target) =>
      this.#isReachable(target) || this.#isProbeDue(target, intervalMs, now)
    );
  }

  /** Records that a request is sent to a target. */
  recordSent({ pool, failureDomain }: TargetLocation, now: number): void {
    this.#states.get(failureDomain)?.probedAt.set(pool, now);
  }

  #isReachable({ failureDomain }: TargetLocation): boolean {
    return this.#states.get(failureDomain)?.isUnreachable !== true;
  }

  #isProbeDue(
    { pool, failureDomain }: TargetLocation,
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
