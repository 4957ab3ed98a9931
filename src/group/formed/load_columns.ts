/**
 * How a group stands, as it crosses a connection between its decider and an entry.
 *
 * @module
 */
import type {
  GroupLoad,
  GroupLoadMessage,
} from "../../messages/formed_group_types.ts";

const PERCENT = 100;

/** Writes loads for one connection, which keeps the order of its messages. */
export class LoadWriter {
  #lastAddresses: readonly string[] | undefined;

  /**
   * The message that tells a load, without addresses that were told before.
   *
   * @example
   * ```ts
   * link.send(writer.write(load));
   * ```
   */
  write({ loads, ...group }: GroupLoad): GroupLoadMessage {
    const addresses = loads.map(({ engineAddress }) => engineAddress);
    const isTold = this.#lastAddresses !== undefined &&
      areEqual(addresses, this.#lastAddresses);
    this.#lastAddresses = addresses;
    return {
      kind: "group_load",
      ...group,
      ...!isTold && { engineAddresses: addresses },
      running: loads.map(({ running }) => running),
      queued: loads.map(({ queued }) => queued),
      pacePercents: loads.map(({ pace }) => Math.round(pace * PERCENT)),
    };
  }
}

/** Reads loads from one connection. */
export class LoadReader {
  #addresses: readonly string[] = [];

  /** The load; undefined where its columns do not fit the addresses. */
  tryRead(message: GroupLoadMessage): GroupLoad | undefined {
    const { engineAddresses, running, queued, pacePercents } = message;
    this.#addresses = engineAddresses ?? this.#addresses;
    const { pool, group, isOpen, ageMs, passMs, epoch } = message;
    const rows = this.#addresses.length;
    const isWhole = [running, queued, pacePercents].every(({ length }) =>
      length === rows
    );
    if (!isWhole) return undefined;
    const loads = this.#addresses.map((engineAddress, row) => ({
      engineAddress,
      running: running[row] as number,
      queued: queued[row] as number,
      pace: Math.max(1, pacePercents[row] as number) / PERCENT,
    }));
    const formation = epoch === undefined ? {} : { epoch };
    return { pool, group, isOpen, ageMs, passMs, ...formation, loads };
  }
}

function areEqual(one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length &&
    one.every((address, place) => address === other[place]);
}
