/**
 * Limits how fast the requests that wait at an entry are sent to a rank group.
 *
 * When a lost group opens again, all requests that waited for it could be sent at once.
 * All ranks run each pass together, so each further request lengthens every pass, and
 * every answer in progress would pause for longer than its caller accepts.
 *
 * Each entry therefore sends only its share of what the group can take before its passes
 * reach the pause objective. `target_selection.ts` decides when that applies: while a
 * group has just opened, or while more urgent requests need its capacity. What a group
 * can take follows from the decider's last reports: passes take at most as long, relative
 * to the reported ones, as there are more requests than before them, since a part of each
 * pass does not depend on them. The bound thus rises with each report of short passes, and
 * is low while little is known of a group that has just opened.
 *
 * Entries without waiting requests do not use their share. As long as reports show that
 * the group gets less than it can take, every entry's share grows.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";

/** A decider's report on its group. */
export interface PassReport {
  /** When the report was received, in milliseconds. */
  readonly at: number;
  /** Milliseconds since the reported state was observed. */
  readonly ageMs: number;
  /** Mean time of a pass, in milliseconds; undefined if there was no recent pass. */
  readonly passMs: number | undefined;
  /** Running and queued requests of all ranks. */
  readonly load: number;
}

/** The conditions under which a waiting request may be sent. */
export interface BacklogContext {
  readonly now: number;
  /** Pause between two chunks that callers accept, in milliseconds, if there is one. */
  readonly pauseObjectiveMs: number | undefined;
  /** Number of requests that all ranks run at once. */
  readonly slots: number;
  /** Number of entries that may be sending, including this one. */
  readonly entries: number;
  /** Distributes what is left of a share below one request among the entries. */
  readonly random: RandomSource;
  /** Load from which arriving requests are deferred; undefined if it is not known. */
  readonly undeferredLoad?: number;
}

/**
 * Fraction of the slots up to which requests are sent whatever the reported pass time:
 * with fewer requests a pass shows little of what a request costs, and a group whose
 * passes are long without them does not become faster by staying empty.
 */
const MIN_USED_FRACTION = 0.2;
/** Factor by which shares grow while the group gets less than half of what it can take. */
const SHARE_GROWTH = 2;
/**
 * Fraction of the slots from which a headroom is large: a smaller one changes as much with
 * each answer that ends as with the requests that are sent.
 */
const LARGE_HEADROOM_FRACTION = 0.1;
/** Milliseconds after which a report is ignored, as the decider is unavailable. */
const REPORT_TTL_MS = 1500;

/** What the group had and could take when shares were last determined, in requests. */
interface FactorBasis {
  readonly at: number;
  readonly load: number;
  readonly headroom: number;
  /** Whether the headroom is more than the usual variation of the load. */
  readonly isLarge: boolean;
}

/** Limits the waiting requests that one entry sends to one rank group. */
export class BacklogAdmission {
  #report: PassReport | undefined;
  #previous: PassReport | undefined;
  /** How many times its equal part of the headroom an entry may use. */
  #shareFactor = 1;
  #askedAt = Number.NEGATIVE_INFINITY;
  /** When the factor was last determined, with load and headroom at that time. */
  #factorBasis: FactorBasis | undefined;
  /** Random number from 0 to 1 for the current report. */
  #fraction: number | undefined;
  /** When requests were sent that the current report does not include. */
  #unreportedSends: number[] = [];

  /** Records a report of the group's decider. */
  record(report: PassReport): void {
    this.#previous = this.#report;
    this.#report = report;
    this.#fraction = undefined;
    const observedAt = report.at - report.ageMs;
    this.#updateShareFactor(report.load, observedAt);
    this.#unreportedSends = this.#unreportedSends.filter((at) =>
      at > observedAt
    );
  }

  /** Records that a request was sent to the group, whether or not it had waited. */
  recordSent(now: number): void {
    if (this.#report !== undefined) this.#unreportedSends.push(now);
  }

  /**
   * Whether a waiting request may be sent to the group now.
   *
   * @example
   * ```ts
   * const admission = new BacklogAdmission();
   * admission.record({ at: 0, ageMs: 0, passMs: 50, load: 40 });
   * const pauseObjectiveMs = 120;
   * const context = { now: 10, pauseObjectiveMs, slots: 192, entries: 1, random };
   * admission.mayAdmit(context); // true
   * ```
   */
  mayAdmit(context: BacklogContext): boolean {
    const { now, pauseObjectiveMs, slots, entries, random } = context;
    const { undeferredLoad = Infinity } = context;
    const report = this.#report;
    if (report === undefined || now - report.at > REPORT_TTL_MS) return true;
    if (pauseObjectiveMs === undefined) return true;
    // What an earlier backlog showed of other entries says nothing of this one.
    if (now - this.#askedAt > REPORT_TTL_MS) this.#shareFactor = 1;
    this.#askedAt = now;
    const acceptableLoad = Math.max(
      MIN_USED_FRACTION * slots,
      Math.min(
        undeferredLoad,
        this.#getAcceptableLoad(report, { pauseObjectiveMs, slots }),
      ),
    );
    const headroom = Math.max(0, acceptableLoad - report.load);
    this.#factorBasis ??= {
      at: report.at,
      load: report.load,
      headroom,
      isLarge: headroom > LARGE_HEADROOM_FRACTION * slots,
    };
    const share = headroom * Math.min(1, this.#shareFactor / entries);
    this.#fraction ??= random.nextFraction();
    return this.#unreportedSends.length < Math.floor(share + this.#fraction);
  }

  /** Returns the number of requests with which passes stay within the pause objective. */
  #getAcceptableLoad(
    report: PassReport,
    limits: { readonly pauseObjectiveMs: number; readonly slots: number },
  ): number {
    const { passMs = 0, load } = report;
    const previous = this.#previous ?? report;
    // Passes vary, and the last passes do not show requests that have just been added.
    const longestMs = Math.max(passMs, previous.passMs ?? 0);
    const shownLoad = Math.min(load, previous.load);
    if (longestMs === 0) return 0;
    const ratio = limits.pauseObjectiveMs / longestMs;
    return Math.min(limits.slots, shownLoad * ratio);
  }

  /** Adjusts the share once a report shows what came of the last one. */
  #updateShareFactor(load: number, observedAt: number): void {
    const basis = this.#factorBasis;
    if (basis === undefined || observedAt < basis.at) return;
    const grownBy = load - basis.load;
    if (grownBy >= basis.headroom) this.#shareFactor = 1;
    else if (grownBy < basis.headroom / 2 && basis.isLarge) {
      this.#shareFactor *= SHARE_GROWTH;
    }
    this.#factorBasis = undefined;
  }
}
