/**
 * Encodes a group's load in columns for the connection from its decider to an entry.
 *
 * @module
 */
import type {
  GroupLoad,
  GroupLoadMessage,
} from "../../messages/formed_group_types.ts";

const PERCENT = 100;

/** Encodes the loads for one connection, which preserves the order of messages. */
export class LoadWriter {
  #lastAddresses: readonly string[] | undefined;

  /**
   * Encodes a load, without the addresses if they equal those sent last.
   *
   * @example
   * ```ts
   * link.send(writer.write(load));
   * ```
   */
  write({ loads, ...group }: GroupLoad): GroupLoadMessage {
    const addresses = loads.map(({ engineAddress }) => engineAddress);
    const isUnchanged = this.#lastAddresses !== undefined &&
      areEqual(addresses, this.#lastAddresses);
    this.#lastAddresses = addresses;
    return {
      kind: "group_load",
      ...group,
      ...!isUnchanged && { engineAddresses: addresses },
      running: loads.map(({ running }) => running),
      queued: loads.map(({ queued }) => queued),
      pacePercents: loads.map(({ pace }) => Math.round(pace * PERCENT)),
    };
  }
}

/** Decodes the loads from one connection. */
export class LoadReader {
  #addresses: readonly string[] = [];

  /** Decodes a load; returns undefined if its columns do not match the addresses. */
  tryRead(message: GroupLoadMessage): GroupLoad | undefined {
    const { engineAddresses, running, queued, pacePercents } = message;
    this.#addresses = engineAddresses ?? this.#addresses;
    const { pool, group, isOpen, ageMs, passMs, epoch } = message;
    const rows = this.#addresses.length;
    const isValid = [running, queued, pacePercents].every(({ length }) =>
      length === rows
    );
    if (!isValid) return undefined;
    const loads = this.#addresses.map((engineAddress, row) => ({
      engineAddress,
      running: running[row] as number,
      queued: queued[row] as number,
      pace: Math.max(1, pacePercents[row] as number) / PERCENT,
    }));
    const epochField = epoch === undefined ? {} : { epoch };
    return { pool, group, isOpen, ageMs, passMs, ...epochField, loads };
  }
}

function areEqual(one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length &&
    one.every((address, index) => address === other[index]);
}
