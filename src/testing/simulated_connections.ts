/**
 * Simulates connections between entries and targets, with their undelivered messages.
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
  /** Whether messages are not delivered although neither side has noticed a fault. */
  isStalled: boolean;
}

/** Connections between entries and targets, at most one for each pair. */
export class SimulatedConnections {
  #connections: Connection[] = [];
  #nextId = 1;

  /** Returns all connections, the oldest first. */
  all(): readonly Connection[] {
    return [...this.#connections];
  }

  /** Returns the connections of a target. */
  listByTarget(target: number): readonly Connection[] {
    return this.#connections.filter((one) => one.target === target);
  }

  /** Returns the connection between an entry and a target, if there is one. */
  tryGetBetween(entry: number, target: number): Connection | undefined {
    return this.#connections.find((one) =>
      one.entry === entry && one.target === target
    );
  }

  /** Returns the connection with an id, if it still exists. */
  tryGet(id: number): Connection | undefined {
    return this.#connections.find((one) => one.id === id);
  }

  /** Returns one of the connections, chosen by any number. */
  tryPick(choice: number): Connection | undefined {
    return this.#connections[choice % Math.max(1, this.#connections.length)];
  }

  /** Connects an entry and a target. */
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

  /** Removes a connection and its undelivered messages. */
  remove(connection: Connection): void {
    this.#connections = this.#connections.filter((one) => one !== connection);
  }

  /** Makes all stalled connections work again. */
  unstallAll(): void {
    for (const connection of this.#connections) connection.isStalled = false;
  }
}

/** Returns whether a connection has undelivered messages. */
export function hasMessages({ toTarget, toEntry }: Connection): boolean {
  return toTarget.length > 0 || toEntry.length > 0;
}
