/**
 * Puts drains of failure domains in force at the targets, and says in the log which targets
 * they concern.
 *
 * @module
 */
import type { DomainDrains } from "../policy/domain_drains.ts";
import type { EventName } from "../events/catalogue.ts";
import type { TargetRegistry } from "./target_registry.ts";
import type { FailureDomainsDrained, LogDecision } from "./types.ts";

/** Characters of the list of drained failure domains in one line of the log. */
const LOGGED_LENGTH = 200;

/** What a refusal says of the drains that it is due to. */
export interface DrainFacts {
  /** The drained failure domains, separated by spaces. */
  readonly drained: string;
  /** Milliseconds since they last changed. */
  readonly drainedMs: number;
}

/** Puts drains in force. */
export class DrainWatch {
  readonly #drains: DomainDrains;
  readonly #registry: TargetRegistry;
  /** Drained failure domains of which the log says whether they contain targets. */
  readonly #logged = new Map<string, EventName>();

  /** Nothing is drained yet. */
  constructor(drains: DomainDrains, registry: TargetRegistry) {
    this.#drains = drains;
    this.#registry = registry;
  }

  /** The drained failure domains were told. */
  noteDrained(
    { failureDomains, now }: FailureDomainsDrained,
  ): readonly LogDecision[] {
    const { ended } = this.#drains.set(failureDomains, now);
    this.#registry.setDrained(this.#drains.drained);
    for (const name of ended) this.#logged.delete(name);
    return [
      ...ended.map((name) => this.#createNote("DOMAIN_RETURNS", name)),
      ...this.noteTargets(),
    ];
  }

  /** Targets were listed: drains that were read before the list can be told now. */
  noteTargets(): readonly LogDecision[] {
    const { drained } = this.#drains;
    if (drained.size === 0 || this.#registry.isEmpty) return [];
    return [...drained].flatMap((name) => {
      const count = this.#countTargets(name);
      const event = count > 0 ? "DOMAIN_DRAINED" : "DOMAIN_WITHOUT_TARGETS";
      if (this.#logged.get(name) === event) return [];
      this.#logged.set(name, event);
      return [this.#createNote(event, name)];
    });
  }

  /** What a refusal for drained targets says of them. */
  getFacts(now: number): DrainFacts {
    const { drained, changedAt } = this.#drains;
    return {
      drained: [...drained].join(" ").slice(0, LOGGED_LENGTH),
      drainedMs: Math.round(now - changedAt),
    };
  }

  #createNote(name: EventName, failureDomain: string): LogDecision {
    const targets = this.#targetsOf(failureDomain);
    const inFlight = targets.reduce((sum, one) => sum + one.ownInFlight, 0);
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
