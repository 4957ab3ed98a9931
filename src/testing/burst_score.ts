/**
 * What callers got in a burst, by kind and by organisation.
 *
 * @module
 */
import { type EndedCall, KINDS, ORGANISATIONS } from "./burst_types.ts";

/** What the callers of one kind got. */
export interface KindScore {
  readonly sent: number;
  /** Parts of all that were sent. */
  readonly onTime: number;
  readonly served: number;
}

/** What all callers got. */
export interface BurstScore {
  /** In the order of {@link KINDS}. */
  readonly kinds: readonly KindScore[];
  /** Sum of worth over what answers on time to all would be worth. */
  readonly worth: number;
  /** Part of all answers that were late. */
  readonly late: number;
  /** Least part served of an organisation, over the part served of all. */
  readonly leastOfOrganisation: number;
}

/** Fewest requests by which an organisation is judged. */
const FEWEST_JUDGED = 15;

/** Scores the calls that were sent within a time. */
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
