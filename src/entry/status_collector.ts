/**
 * Collects the state of the targets.
 *
 * @module
 */
import type { Link } from "../links/link.ts";
import type { StatusMessage } from "../messages/types.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";

/** Milliseconds after which a status request to a target counts as unanswered. */
const ANSWER_TIMEOUT_MS = 1000;

/** State of a target that answered. */
export interface AnsweredTarget {
  readonly kind: "answered";
  readonly name: string;
  readonly revision: number;
  readonly queued: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** A target that is not connected or did not answer. */
export interface UnansweredTarget {
  readonly kind: "not_asked";
  readonly name: string;
}

/** State of one target, for the `status` command. */
export type TargetStatus = AnsweredTarget | UnansweredTarget;

/** A target and its link, if it is connected. */
export interface QueriedTarget {
  readonly name: string;
  readonly link: Link | undefined;
}

/** Collects the state of the targets. */
export class StatusCollector {
  readonly #pendingQueries = new Map<
    string,
    Set<(answer: StatusMessage) => void>
  >();

  /** Handles an answer to a status request. */
  receive(targetName: string, message: StatusMessage): void {
    const pending = this.#pendingQueries.get(targetName);
    this.#pendingQueries.delete(targetName);
    for (const resolve of pending ?? []) resolve(message);
  }

  /** Queries all targets in parallel; includes listed targets without a connection. */
  async collect(
    queried: readonly QueriedTarget[],
    virtualMachines: readonly VirtualMachine[],
  ): Promise<readonly TargetStatus[]> {
    const names = new Set(queried.map((target) => target.name));
    const others = virtualMachines.filter((listed) =>
      listed.role === "target" && listed.state !== "gone" &&
      !names.has(listed.name)
    );
    const answers = await Promise.all(
      queried.map((target) => this.#query(target)),
    );
    const notQueried = others.map(({ name }): TargetStatus => ({
      kind: "not_asked",
      name,
    }));
    return [...answers, ...notQueried]
      .sort((left, right) => left.name.localeCompare(right.name));
  }

  #query(target: QueriedTarget): Promise<TargetStatus> {
    const { name, link } = target;
    if (link === undefined) return Promise.resolve({ kind: "not_asked", name });
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => resolve({ kind: "not_asked", name }),
        ANSWER_TIMEOUT_MS,
      );
      const pending = this.#pendingQueries.get(name) ?? new Set();
      this.#pendingQueries.set(name, pending);
      pending.add((answer) => {
        clearTimeout(timer);
        resolve({ ...answer, kind: "answered", name });
      });
      link.send({ kind: "status_request" });
    });
  }
}
