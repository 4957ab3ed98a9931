/**
 * Paces the sending of the map in force to the processes of all ranks ahead of the first
 * order, so that this order has to carry only the difference from it.
 *
 * @module
 */
import { LinkPacer } from "../../policy/link_pacer.ts";
import type { ExpertMap } from "../../messages/group_types.ts";

/** Share of the decider's link for maps that are sent ahead of orders. */
const LINK_SHARE = 0.2;
/** Average encoded size of an expert's number in a map, in bytes. */
const BYTES_PER_EXPERT = 1.6;

/** Paces maps that are sent ahead of orders. */
export class BaseMapPacer {
  readonly #pacer: LinkPacer;

  /** `bytesPerSecond` is the capacity of the decider's link. */
  constructor(bytesPerSecond: number) {
    this.#pacer = new LinkPacer({ bytesPerSecond, fraction: LINK_SHARE });
  }

  /**
   * Returns whether the map may be sent to one more process now, and reserves its bytes.
   *
   * @example
   * ```ts
   * if (pacer.tryTake(map, now)) send(map);
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
