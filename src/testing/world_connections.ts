/**
 * Connections between the entries and targets of a world under faults, with the messages
 * on their way.
 *
 * @module
 */
import type { Message } from "../messages/types.ts";

/** A connection between an entry and a target. */
export interface Connection {
  readonly id: number;
  readonly entry: number;
  readonly target: number;
  readonly toTarget: Message[];
  readonly toEntry: Message[];
  /** Nothing gets through, but neither side knows yet. */
  isStalled: boolean;
}

/** Connections between entries and targets, at most one a pair. */
export class WorldConnections {
  #connections: Connection[] = [];
  #nextId = 1;

  /** All connections, the oldest first. */
  all(): readonly Connection[] {
    return [...this.#connections];
  }

  /** The connections of a target. */
  ofTarget(target: number): readonly Connection[] {
    return this.#connections.filter((one) => one.target === target);
  }

  /** The connection between two, if there is one. */
  tryBetween(entry: number, target: number): Connection | undefined {
    return this.#connections.find((one) =>
      one.entry === entry && one.target === target
    );
  }

  /** The connection with a number, if it is still there. */
  tryGet(id: number): Connection | undefined {
    return this.#connections.find((one) => one.id === id);
  }

  /** One of all, picked by any number. */
  tryPick(choice: number): Connection | undefined {
    return this.#connections[choice % Math.max(1, this.#connections.length)];
  }

  /** Connects two. */
  add(entry: number, target: number): Connection {
    const connection: Connection = {
      id: this.#nextId++,
      entry,
      target,
      toTarget: [],
      toEntry: [],
      isStalled: false,
    };
    this.#connections.push(connection);
    return connection;
  }

  /** The connection is lost, with what was on its way. */
  remove(connection: Connection): void {
    this.#connections = this.#connections.filter((one) => one !== connection);
  }

  /** Everything that was stalled gets through again. */
  unstallAll(): void {
    for (const connection of this.#connections) connection.isStalled = false;
  }
}

/** Whether a connection has something on its way. */
export function isBusy({ toTarget, toEntry }: Connection): boolean {
  return toTarget.length > 0 || toEntry.length > 0;
}
