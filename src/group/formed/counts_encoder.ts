/**
 * Encodes expert counts as the increase over the counts that were sent before, if the
 * decider has those. A count since the start of an engine takes three bytes or more, the
 * increase within 200 ms takes one: 1.7 KB instead of 4.8 KB for 16 layers of 96 experts.
 * A decider receives the counts of 24 ranks five times a second.
 *
 * @module
 */
import type {
  CountsReport,
  ExpertCounts,
} from "../../messages/formed_group_types.ts";

/** Encodes counts relative to those that were sent last. */
export class CountsEncoder {
  #serial = 0;
  #lastSent: ExpertCounts | undefined;

  /**
   * Returns the increase over the counts with the serial number `known`. Returns the full
   * counts if those are not the last ones sent or if the engine has restarted.
   *
   * @example
   * ```ts
   * const report = encoder.encode(await engine.readCounts(), query.knownCounts);
   * ```
   */
  encode(counts: ExpertCounts, known: number | undefined): CountsReport {
    const base = known === this.#serial ? this.#lastSent : undefined;
    const since = this.#serial;
    this.#serial++;
    this.#lastSent = counts;
    const added = base === undefined ? undefined : tryGetIncrease(counts, base);
    if (added === undefined) return { serial: this.#serial, counts };
    return { serial: this.#serial, since, counts: added };
  }
}

/**
 * Returns undefined if any count has decreased, which means that the engine restarted.
 */
function tryGetIncrease(
  counts: ExpertCounts,
  base: ExpertCounts,
): ExpertCounts | undefined {
  const added = counts.map((row, layer) =>
    row.map((count, expert) => count - (base[layer]?.[expert] ?? 0))
  );
  const isIncrease = added.every((row) => row.every((count) => count >= 0));
  return isIncrease ? added : undefined;
}
