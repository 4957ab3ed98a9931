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
  readonly onTime: number;
  readonly served: number;
}

/** Results of all callers. */
export interface BurstScore {
  /** In the order of {@link KINDS}. */
  readonly kinds: readonly KindScore[];
  /**
   * Total benefit of the answers, divided by the benefit if every call were answered on
   * time.
   */
  readonly worth: number;
  /** Fraction of all answers that were late. */
  readonly late: number;
  /**
   * Lowest served fraction of any organisation, divided by the served fraction of all
   * calls.
   */
  readonly leastOfOrganisation: number;
}

/** Organisations with fewer calls than this are not scored. */
const FEWEST_JUDGED = 15;

/** Scores the calls that were sent within an interval. */
export function scoreCalls(
  ended: readonly EndedCall[],
  { from, until }: { readonly from: number; readonly until: number },
): BurstScore {
  const calls = ended.filter(({ sentAt }) => sentAt >= from && sentAt < until);
  const answered = calls.filter(({ outcome }) => outcome !== "unserved");
  const late = answered.filter(({ outcome }) => outcome === "late");
  const worth = calls.reduce((sum, call) => sum + worthOf(call), 0);
  const most = calls.reduce((sum, { kind }) => sum + getWorth(kind), 0);
  const all = servedPart(calls);
  const parts = Array.from(
    { length: ORGANISATIONS },
    (_, organisation) =>
      calls.filter((call) => call.organisation === organisation),
  )
    .filter(({ length }) => length >= FEWEST_JUDGED).map(servedPart);
  return {
    kinds: KINDS.map((_, kind) =>
      scoreKind(calls.filter((call) => call.kind === kind))
    ),
    worth: worth / most,
    late: late.length / answered.length,
    leastOfOrganisation: Math.min(...parts) / all,
  };
}

function scoreKind(calls: readonly EndedCall[]): KindScore {
  const onTime = calls.filter(({ outcome }) => outcome === "on_time");
  return {
    sent: calls.length,
    onTime: onTime.length / calls.length,
    served: servedPart(calls),
  };
}

function servedPart(calls: readonly EndedCall[]): number {
  const served = calls.filter(({ outcome }) => outcome !== "unserved");
  return served.length / calls.length;
}

function getWorth(kind: number): number {
  return KINDS[kind]?.worth ?? 0;
}

function worthOf({ kind, outcome }: EndedCall): number {
  if (outcome === "unserved") return 0;
  const part = outcome === "late" ? KINDS[kind]?.lateWorth ?? 0 : 1;
  return part * getWorth(kind);
}
