/**
 * Maps failures of calls to back ends to the refusals that callers receive.
 *
 * @module
 */
import type { BackEndFailure } from "./back_end.ts";
import type { RefusalName } from "../refusals/catalogue.ts";

const REASON_BY_FAILURE: Readonly<Record<BackEndFailure, RefusalName>> = {
  not_begun: "BACK_END_UNREACHABLE",
  withheld: "TARGET_WITHHELD",
  full: "BACK_END_FULL",
  group_lost: "GROUP_CLOSED",
  wrong_instance: "WRONG_INSTANCE",
  late: "DEADLINE",
  broken: "BACK_END_FAILED",
};

/**
 * Returns the refusal for a failed call.
 *
 * @example
 * ```ts
 * getRefusalReason("not_begun"); // "BACK_END_UNREACHABLE"
 * ```
 */
export function getRefusalReason(failure: BackEndFailure): RefusalName {
  return REASON_BY_FAILURE[failure];
}
