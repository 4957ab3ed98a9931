/**
 * The links to the back ends that the directory lists.
 *
 * @module
 */
import type { TargetLink, TargetLinks } from "../entry/target_links.ts";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type { BackEnd } from "../external/back_end.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { AttemptMessage } from "../messages/types.ts";
import { DirectTarget } from "./direct_target.ts";

/** Options of a {@link DirectTargetPool}. */
export interface DirectTargetPoolOptions {
  /** Creates the adapter of one back end. */
  readonly createBackEnd: (instance: BackEndInstance) => BackEnd;
  readonly log: EventLog;
  /** Called for each message; an exception is logged as an error of this program. */
  readonly onMessage: (targetName: string, message: AttemptMessage) => void;
  /**
   * Whether an attempt may still be sent to a target. Checked before its first byte is
   * sent.
   */
  readonly mayBegin: (targetName: string) => boolean;
}

/** The links to the back ends that the directory lists. */
export class DirectTargetPool implements TargetLinks {
  readonly #options: DirectTargetPoolOptions;
  readonly #targets = new Map<string, DirectTarget>();

  /** Starts without back ends. */
  constructor(options: DirectTargetPoolOptions) {
    this.#options = options;
  }

  tryLink(targetName: string): TargetLink | undefined {
    return this.#targets.get(targetName);
  }

  /**
   * Applies a new list, and returns the back ends that can be called. A back end that is
   * no longer listed is closed once its attempts have ended.
   */
  setInstances(
    instances: readonly BackEndInstance[],
  ): readonly BackEndInstance[] {
    const listed = new Set(instances.map(({ id }) => id));
    const { log } = this.#options;
    for (const instance of instances) {
      if (this.#targets.has(instance.id)) continue;
      tryHandle(log, `back end ${instance.id}`, () => this.#add(instance));
    }
    for (const [id, target] of this.#targets) {
      if (listed.has(id) || target.inFlight > 0) continue;
      this.#targets.delete(id);
      void target.close();
    }
    return instances.filter(({ id }) => this.#targets.has(id));
  }

  /** Closes all connections. */
  close(): void {
    for (const target of this.#targets.values()) void target.close();
    this.#targets.clear();
  }

  #add(instance: BackEndInstance): void {
    const { createBackEnd, log, onMessage, mayBegin } = this.#options;
    const target = new DirectTarget({
      instance,
      log,
      backEnd: createBackEnd(instance),
      // The client library would fail the call, as if the back end had broken it off.
      onMessage: (message) =>
        tryHandle(
          log,
          `an answer of ${instance.id}`,
          () => onMessage(instance.id, message),
        ),
      mayBegin: () => mayBegin(instance.id),
    });
    this.#targets.set(instance.id, target);
  }
}
