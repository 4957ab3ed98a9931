/**
 * Limits how fast late requests are admitted to a rank group, so that requests that can
 * still be answered in time are not delayed.
 *
 * When a lost group opens again, all requests that waited for it would be sent at once,
 * in addition to new ones. All ranks run each pass together, so each further request
 * lengthens every pass. Passes soon exceed the pause that callers tolerate between two
 * chunks of an answer, and every answer in progress is late, although an answer in time
 * is worth twice as much.
 *
 * Late requests are therefore admitted at the rate of the decider's reports of the pass
 * time: some with each report while passes are short, none while they come near the
 * tolerated pause. Each entry acts on the same report independently, and what all entries
 * together admit between two reports changes the pass time by less than the margin.
 *
 * While passes are shorter than the tolerated pause, no request is deferred until its
 * caller gives up: after a long wait it is sent as soon as a target has a free slot. An
 * unanswered caller is worse than some late answers, and waiting requests arrived over
 * time, so they are admitted over time, too.
 *
 * @module
 */

/** A decider's report of the pass time of its group. */
export interface PassReport {
  /** Mean time of a pass, in milliseconds; undefined if there was no recent pass. */
  readonly passMs: number | undefined;
  readonly at: number;
}

/** A request whose answer is unlikely to be in time. */
export interface LateRequest {
  readonly now: number;
  /** Milliseconds since the request arrived at this entry. */
  readonly waitedMs: number;
  /** Whether the target would start the request immediately. */
  readonly hasFreeSlot: boolean;
}

/**
 * Fraction of the tolerated pause up to which passes count as short. A usual pass takes
 * less than half of the pause, a pass with all slots in use more than all of it.
 */
const SHORT_PASS_FRACTION = 0.6;
/**
 * Maximum number of late requests that an entry sends between two reports of short
 * passes.
 */
const MAX_PER_REPORT = 2;
/** The same while the pass time is unknown, in a group that has just opened. */
const MAX_PER_UNKNOWN_REPORT = 1;
/**
 * Milliseconds after which a late request is no longer deferred: its caller gives up two
 * seconds after arrival, and the first chunk of an answer takes some passes.
 */
const MAX_DEFERRAL_MS = 1300;
/** Milliseconds after which a report is ignored, as the decider is unavailable. */
const REPORT_TTL_MS = 1500;

/** Limits the late requests that are admitted to one rank group. */
export class LateAdmission {
  #report: PassReport | undefined;
  #admittedCount = 0;

  /**
   * Records a report of the group's decider; they arrive every few hundred milliseconds.
   */
  record(report: PassReport): void {
    this.#report = report;
    this.#admittedCount = 0;
  }

  /**
   * Whether a late request may be sent to the group now.
   *
   * @example
   * ```ts
   * const admission = new LateAdmission();
   * admission.record({ passMs: 50, at: 0 });
   * admission.mayAdmit(120, { now: 10, waitedMs: 0, hasFreeSlot: true }); // true
   * ```
   */
  mayAdmit(
    pauseObjectiveMs: number | undefined,
    request: LateRequest,
  ): boolean {
    const { now } = request;
    const report = this.#report;
    if (report === undefined || now - report.at > REPORT_TTL_MS) return true;
    if (pauseObjectiveMs === undefined) return true;
    if (isLastChance(request, report, pauseObjectiveMs)) return true;
    return this.#admittedCount < getMaxPerReport(report, pauseObjectiveMs);
  }

  /** Records that a late request was sent to the group. */
  recordAdmitted(): void {
    this.#admittedCount++;
  }
}

/**
 * Whether the request must be sent now to be answered at all, and can be. If passes
 * exceed the tolerated pause, the group is overloaded, and another request would leave
 * others unanswered.
 */
function isLastChance(
  { waitedMs, hasFreeSlot }: LateRequest,
  { passMs = 0 }: PassReport,
  pauseObjectiveMs: number,
): boolean {
  return waitedMs >= MAX_DEFERRAL_MS && hasFreeSlot &&
    passMs <= pauseObjectiveMs;
}

function getMaxPerReport(
  { passMs }: PassReport,
  pauseObjectiveMs: number,
): number {
  if (passMs === undefined) return MAX_PER_UNKNOWN_REPORT;
  return passMs <= SHORT_PASS_FRACTION * pauseObjectiveMs ? MAX_PER_REPORT : 0;
}
