/**
 * The way to each back end that the directory lists.
 *
 * @module
 */
import type { TargetLink, TargetLinks } from "../entry/target_links.ts";
import type { BackEnd } from "../external/back_end.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { AttemptMessage } from "../messages/types.ts";
import { DirectTarget } from "./direct_target.ts";

/** Options of a {@link DirectTargetPool}. */
export interface DirectTargetPoolOptions {
  /** Makes the adapter of one back end. */
  readonly createBackEnd: (instance: BackEndInstance) => BackEnd;
  readonly onMessage: (targetName: string, message: AttemptMessage) => void;
  /** Whether an attempt may still be sent to a target, asked before its first byte. */
  readonly mayBegin: (targetName: string) => boolean;
}

/** The way to each back end that the directory lists. */
export class DirectTargetPool implements TargetLinks {
  readonly #options: DirectTargetPoolOptions;
  readonly #targets = new Map<string, DirectTarget>();

  /** Begins without back ends. */
  constructor(options: DirectTargetPoolOptions) {
    this.#options = options;
  }

  tryLink(targetName: string): TargetLink | undefined {
    return this.#targets.get(targetName);
  }

  /** Takes in the list; what left it is closed when its attempts have ended. */
  setInstances(instances: readonly BackEndInstance[]): void {
    const listed = new Set(instances.map(({ id }) => id));
    for (const instance of instances) {
      if (!this.#targets.has(instance.id)) this.#add(instance);
    }
    for (const [id, target] of this.#targets) {
      if (listed.has(id) || target.inFlight > 0) continue;
      this.#targets.delete(id);
      void target.close();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const target of this.#targets.values()) void target.close();
    this.#targets.clear();
  }

  #add(instance: BackEndInstance): void {
    const { createBackEnd, onMessage, mayBegin } = this.#options;
    const target = new DirectTarget({
      instance,
      backEnd: createBackEnd(instance),
      onMessage: (message) => onMessage(instance.id, message),
      mayBegin: () => mayBegin(instance.id),
    });
    this.#targets.set(instance.id, target);
  }
}
