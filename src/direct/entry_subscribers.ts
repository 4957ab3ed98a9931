/**
 * The entries that receive a group's load and state from the sidecar of a rank.
 *
 * @module
 */
import { LoadWriter } from "../group/formed/load_columns.ts";
import type {
  GroupLoad,
  GroupObservationMessage,
} from "../messages/formed_group_types.ts";
import type { Message } from "../messages/types.ts";
import { LinkPacer } from "../policy/link_pacer.ts";

/**
 * Share of the VM's link for sending loads. Without a limit, a hundred entries that each
 * receive a load every 200 ms use half of a 4 Mbit/s link, which delays orders and maps.
 */
const LINK_SHARE = 0.15;
/** Bytes of a load message without its rows, including headers. */
const LOAD_BYTES = 220;
/** Bytes of one rank's row. */
const ROW_BYTES = 5;

/** The part of a connection to an entry that is used here. */
export interface EntryLink {
  send(message: Message): void;
}

/** The entries that receive updates from the sidecar of a rank. */
export class EntrySubscribers {
  readonly #pacer: LinkPacer;
  readonly #writers = new Map<EntryLink, LoadWriter>();

  /** Takes the capacity of the VM's link, in bytes per second. */
  constructor(bytesPerSecond: number) {
    this.#pacer = new LinkPacer({ bytesPerSecond, fraction: LINK_SHARE });
  }

  /** Number of subscribed entries. */
  get size(): number {
    return this.#writers.size;
  }

  /** Adds an entry that connected. */
  add(link: EntryLink): void {
    this.#writers.set(link, new LoadWriter());
  }

  /** Removes an entry whose connection was lost. */
  remove(link: EntryLink): void {
    this.#writers.delete(link);
  }

  /** Sends to all entries whether the group runs. */
  sendObservation(observation: GroupObservationMessage): void {
    for (const link of this.#writers.keys()) link.send(observation);
  }

  /**
   * Sends the load of the ranks to all entries. Skipped while the link is still busy with
   * the previous load.
   *
   * @example
   * ```ts
   * subscribers.sendLoad(load, performance.now());
   * ```
   */
  sendLoad(load: GroupLoad, now: number): void {
    const bytes = this.size * (LOAD_BYTES + ROW_BYTES * load.loads.length);
    if (!this.#pacer.tryTake(bytes, now)) return;
    for (const [link, writer] of this.#writers) link.send(writer.write(load));
  }
}
