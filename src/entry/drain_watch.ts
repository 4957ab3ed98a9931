/**
 * Applies drains of failure domains to targets, and creates log records of the targets
 * that are affected.
 *
 * @module
 */
import type { DomainDrains } from "../policy/domain_drains.ts";
import type { EventName } from "../events/catalogue.ts";
import type { TargetRegistry } from "./target_registry.ts";
import type { FailureDomainsDrained, LogDecision } from "./types.ts";

/**
 * Maximum length of the list of drained failure domains in a log record, in characters.
 */
const MAX_LOGGED_CHARACTERS = 200;

/** Details of the drains that cause a refusal, for its log record. */
export interface DrainDetails {
  /** The drained failure domains, separated by spaces. */
  readonly drained: string;
  /** Milliseconds since the set of drained failure domains last changed. */
  readonly drainedMs: number;
}

/** Applies drains of failure domains to the targets of a registry. */
export class DrainWatch {
  readonly #drains: DomainDrains;
  readonly #registry: TargetRegistry;
  /** Last event that was logged of each drained failure domain. */
  readonly #loggedEvents = new Map<string, EventName>();

  /** Starts without any drained failure domain. */
  constructor(drains: DomainDrains, registry: TargetRegistry) {
    this.#drains = drains;
    this.#registry = registry;
  }

  /** Replaces the set of drained failure domains. */
  applyDrains(
    { failureDomains, now }: FailureDomainsDrained,
  ): readonly LogDecision[] {
    const { ended } = this.#drains.set(failureDomains, now);
    this.#registry.setDrained(this.#drains.drained);
    for (const name of ended) this.#loggedEvents.delete(name);
    return [
      ...ended.map((name) => this.#createRecord("DOMAIN_RETURNS", name)),
      ...this.onTargetsListed(),
    ];
  }

  /**
   * Logs the drained failure domains whose targets are known now. Drains may have been
   * read before the list of targets.
   */
  onTargetsListed(): readonly LogDecision[] {
    const { drained } = this.#drains;
    if (drained.size === 0 || this.#registry.isEmpty) return [];
    return [...drained].flatMap((name) => {
      const count = this.#countTargets(name);
      const event = count > 0 ? "DOMAIN_DRAINED" : "DOMAIN_WITHOUT_TARGETS";
      if (this.#loggedEvents.get(name) === event) return [];
      this.#loggedEvents.set(name, event);
      return [this.#createRecord(event, name)];
    });
  }

  /** Returns the details of the current drains, for the log record of a refusal. */
  getDetails(now: number): DrainDetails {
    const { drained, changedAt } = this.#drains;
    return {
      drained: [...drained].join(" ").slice(0, MAX_LOGGED_CHARACTERS),
      drainedMs: Math.round(now - changedAt),
    };
  }

  #createRecord(name: EventName, failureDomain: string): LogDecision {
    const targets = this.#targetsOf(failureDomain);
    const inFlight = targets.reduce(
      (sum, target) => sum + target.ownInFlight,
      0,
    );
    const details = { failureDomain, targets: targets.length, inFlight };
    return { kind: "log_decision", name, details };
  }

  #countTargets(failureDomain: string): number {
    return this.#targetsOf(failureDomain).length;
  }

  #targetsOf(failureDomain: string) {
    return [...this.#registry.all()].filter((target) =>
      target.failureDomain === failureDomain
    );
  }
}
