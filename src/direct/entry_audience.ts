/**
 * The entries that hear from a rank's process how its group stands.
 *
 * @module
 */
import { LoadWriter } from "../group/formed/load_columns.ts";
import type {
  GroupLoad,
  GroupSightMessage,
} from "../messages/formed_group_types.ts";
import type { Message } from "../messages/types.ts";
import { LinkPacer } from "../policy/link_pacer.ts";

/**
 * Part of the machine's link for telling loads: a hundred entries each 200 ms take half
 * of 4 Mbit/s, which orders and maps then wait for.
 */
const LINK_PART = 0.15;
/** Bytes of a load but for its rows, with the headers around it. */
const LOAD_BYTES = 220;
/** Bytes of a rank's row. */
const ROW_BYTES = 5;

/** A connection to an entry, as far as it is needed here. */
export interface EntryLink {
  send(message: Message): void;
}

/** The entries that hear from a rank's process. */
export class EntryAudience {
  readonly #pacer: LinkPacer;
  readonly #writers = new Map<EntryLink, LoadWriter>();

  /** Takes the bytes that the machine's link carries in a second. */
  constructor(bytesPerSecond: number) {
    this.#pacer = new LinkPacer({ bytesPerSecond, part: LINK_PART });
  }

  /** Entries that hear from here. */
  get size(): number {
    return this.#writers.size;
  }

  /** An entry connected. */
  add(link: EntryLink): void {
    this.#writers.set(link, new LoadWriter());
  }

  /** Its connection is lost. */
  remove(link: EntryLink): void {
    this.#writers.delete(link);
  }

  /** Tells all whether the group runs. */
  tellSight(sight: GroupSightMessage): void {
    for (const link of this.#writers.keys()) link.send(sight);
  }

  /**
   * Tells all how the ranks stand, unless the link is still to carry the last word.
   *
   * @example
   * ```ts
   * audience.tellLoad(load, performance.now());
   * ```
   */
  tellLoad(load: GroupLoad, now: number): void {
    const bytes = this.size * (LOAD_BYTES + ROW_BYTES * load.loads.length);
    if (!this.#pacer.tryTake(bytes, now)) return;
    for (const [link, writer] of this.#writers) link.send(writer.write(load));
  }
}
