/**
 * Scores what callers received in a burst, by kind and by organisation.
 *
 * @module
 */
import { type EndedCall, KINDS, ORGANISATIONS } from "./burst_types.ts";

/** Results of the callers of one kind. */
export interface KindScore {
  readonly sent: number;
  /** Fractions of all calls that were sent. */
  readonly onTimeFraction: number;
  readonly servedFraction: number;
}

/** Results of all callers. */
export interface BurstScore {
  /** In the order of {@link KINDS}. */
  readonly kinds: readonly KindScore[];
  /** Fraction of all calls that were answered on time. */
  readonly onTimeFraction: number;
  /** Fraction of all answers that were late. */
  readonly lateFraction: number;
  /**
   * Lowest served fraction of any organisation, divided by the served fraction of all
   * calls.
   */
  readonly minOrganisationShare: number;
}

/** Organisations with fewer calls than this are not scored. */
const MIN_SCORED_CALLS = 15;

/** Scores the calls that were sent within an interval. */
export function scoreCalls(
  ended: readonly EndedCall[],
  { from, until }: { readonly from: number; readonly until: number },
): BurstScore {
  const calls = ended.filter(({ sentAt }) => sentAt >= from && sentAt < until);
  const answered = calls.filter(({ outcome }) => outcome !== "unserved");
  const late = answered.filter(({ outcome }) => outcome === "late");
  const onTime = calls.filter(({ outcome }) => outcome === "on_time");
  const servedFraction = getServedFraction(calls);
  const organisationFractions = Array.from(
    { length: ORGANISATIONS },
    (_, organisation) =>
      calls.filter((call) => call.organisation === organisation),
  )
    .filter(({ length }) => length >= MIN_SCORED_CALLS).map(getServedFraction);
  return {
    kinds: KINDS.map((_, kind) =>
      scoreKind(calls.filter((call) => call.kind === kind))
    ),
    onTimeFraction: onTime.length / calls.length,
    lateFraction: late.length / answered.length,
    minOrganisationShare: Math.min(...organisationFractions) / servedFraction,
  };
}

function scoreKind(calls: readonly EndedCall[]): KindScore {
  const onTime = calls.filter(({ outcome }) => outcome === "on_time");
  return {
    sent: calls.length,
    onTimeFraction: onTime.length / calls.length,
    servedFraction: getServedFraction(calls),
  };
}

function getServedFraction(calls: readonly EndedCall[]): number {
  const served = calls.filter(({ outcome }) => outcome !== "unserved");
  return served.length / calls.length;
}
