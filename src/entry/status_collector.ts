/**
 * Asks the targets for their state.
 *
 * @module
 */
import type { Link } from "../links/link.ts";
import type { StatusMessage } from "../messages/types.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";

/** Milliseconds that targets are given to answer. */
const ANSWER_TIMEOUT_MS = 1000;

/** The target answered. */
export interface AnsweredTarget {
  readonly kind: "answered";
  readonly name: string;
  readonly revision: number;
  readonly queued: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** The target could not be asked, or did not answer. */
export interface UnansweredTarget {
  readonly kind: "not_asked";
  readonly name: string;
}

/** State of one target, for `status`. */
export type TargetStatus = AnsweredTarget | UnansweredTarget;

/** A target and the way to it. */
export interface QueriedTarget {
  readonly name: string;
  readonly link: Link | undefined;
}

/** Asks the targets for their state. */
export class StatusCollector {
  readonly #pendingQueries = new Map<
    string,
    Set<(answer: StatusMessage) => void>
  >();

  /** Takes in an answer. */
  receive(targetName: string, message: StatusMessage): void {
    const waiting = this.#pendingQueries.get(targetName);
    this.#pendingQueries.delete(targetName);
    for (const resolve of waiting ?? []) resolve(message);
  }

  /** Asks all at once; those listed but not connected are named as well. */
  async collect(
    asked: readonly QueriedTarget[],
    machines: readonly VirtualMachine[],
  ): Promise<readonly TargetStatus[]> {
    const names = new Set(asked.map((target) => target.name));
    const others = machines.filter((machine) =>
      machine.role === "target" && machine.state !== "gone" &&
      !names.has(machine.name)
    );
    const answers = await Promise.all(asked.map((one) => this.#query(one)));
    const notAsked = others.map(({ name }): TargetStatus => ({
      kind: "not_asked",
      name,
    }));
    return [...answers, ...notAsked]
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
      const waiting = this.#pendingQueries.get(name) ?? new Set();
      this.#pendingQueries.set(name, waiting);
      waiting.add((answer) => {
        clearTimeout(timer);
        resolve({ ...answer, kind: "answered", name });
      });
      link.send({ kind: "status_request" });
    });
  }
}
