/**
 * What an entry knows of one rank group: whether it runs, and when that was observed.
 * Several processes report the state of a group, and their reports may arrive out of
 * order: the latest observation of an engine takes precedence.
 *
 * @module
 */
import { GroupCapacity } from "../policy/group_capacity.ts";
import { BacklogAdmission } from "../policy/backlog_admission.ts";

/** Whether a group ran when it was observed, and when that was. */
export interface GroupObservation {
  readonly isOpen: boolean;
  /** When an engine of the group was observed, by this process's clock. */
  readonly observedAt: number;
}

/**
 * Milliseconds for which a group that was observed as closed gets no requests. Processes
 * report it every 500 ms, so two reports may be lost. After that, requests are sent to
 * the group again, and their outcome shows whether it runs.
 */
const MAX_CLOSED_OBSERVATION_AGE_MS = 1500;

/**
 * Milliseconds for which an observation takes precedence over the report of a target, as
 * processes report every 500 ms.
 */
const OBSERVATION_PRECEDENCE_MS = 700;

/**
 * Milliseconds for which a group counts as having just opened. Requests that waited for it
 * are sent by then, or their callers are told to return.
 */
const OPENING_MS = 2000;

/** What an entry knows of one rank group. */
export class GroupState {
  readonly name: string;
  /** Limits how fast waiting requests are sent to the group. */
  readonly backlog = new BacklogAdmission();
  /** Estimates how many requests the group can process in time. */
  readonly capacity = new GroupCapacity();
  #isOpen = true;
  #openedAt = Number.NEGATIVE_INFINITY;
  #observedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates the state of a group that is assumed to run until it is observed as closed.
   */
  constructor(name: string) {
    this.name = name;
  }

  /** Milliseconds since an engine of the group was last observed. */
  ageAt(now: number): number {
    return now - this.#observedAt;
  }

  /** Whether the group has just opened, so that a crowd may wait for it. */
  hasJustOpened(now: number): boolean {
    return now - this.#openedAt < OPENING_MS;
  }

  /** Whether the group is known not to run, so that requests would only wait. */
  isClosed(now: number): boolean {
    return !this.#isOpen && this.ageAt(now) < MAX_CLOSED_OBSERVATION_AGE_MS;
  }

  /**
   * Records that a target reported the loss of another rank, without which the group
   * cannot run. The target may have stalled for a second before it reported this, so a
   * recent observation takes precedence. Returns whether the known state changed.
   */
  recordClosedByTarget(now: number): boolean {
    if (this.ageAt(now) < OBSERVATION_PRECEDENCE_MS) return false;
    return this.observe({ isOpen: false, observedAt: now });
  }

  /**
   * Records an observation unless it is outdated; returns whether the known state
   * changed.
   */
  observe(observation: GroupObservation): boolean {
    if (observation.observedAt < this.#observedAt) return false;
    const hasChanged = observation.isOpen !== this.#isOpen;
    this.#isOpen = observation.isOpen;
    if (hasChanged && observation.isOpen) {
      this.#openedAt = observation.observedAt;
    }
    this.#observedAt = observation.observedAt;
    return hasChanged;
  }
}
