/**
 * Tells the processes of all ranks the map in force while nothing else is to be sent, so
 * that the first order needs to carry only what differs from it.
 *
 * @module
 */
import { LinkPacer } from "../../policy/link_pacer.ts";
import type { ExpertMap } from "../../messages/group_types.ts";

/** Part of the decider's link for maps that are told ahead. */
const LINK_SHARE = 0.2;
/** Bytes of an expert's number in a map. */
const BYTES_PER_EXPERT = 1.6;

/** Paces maps that are told ahead of orders. */
export class BaseMapPacer {
  readonly #pacer: LinkPacer;

  /** Takes the bytes that the decider's link carries in a second. */
  constructor(bytesPerSecond: number) {
    this.#pacer = new LinkPacer({ bytesPerSecond, part: LINK_SHARE });
  }

  /**
   * Whether one more process may be told the map now.
   *
   * @example
   * ```ts
   * if (baseMaps.tryTake(map, now)) tell(map);
   * ```
   */
  tryTake(map: ExpertMap, now: number): boolean {
    return this.#pacer.tryTake(bytesOf(map), now);
  }
}

function bytesOf({ layers }: ExpertMap): number {
  const numbers = layers.reduce(
    (sum, { experts }) => sum + experts.flat().length,
    0,
  );
  return numbers * BYTES_PER_EXPERT;
}
