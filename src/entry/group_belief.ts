/**
 * What an entry believes of one rank group: whether it runs, and how old the word on
 * that is. Several processes tell the same fact, and their words cross: the one that
 * looked at an engine last is right.
 *
 * @module
 */
import { GroupCapacity } from "../policy/group_capacity.ts";
import { LateAdmission } from "../policy/late_admission.ts";

/** Whether a group was seen to run, and when. */
export interface GroupSight {
  readonly isOpen: boolean;
  /** When an engine of the group was looked at, by this process's clock. */
  readonly seenAt: number;
}

/**
 * Milliseconds for which a sight of a closed group keeps requests from it. Processes
 * tell of it every half second, so two words may be lost; after that a request finds
 * out.
 */
const SIGHT_LIMIT_MS = 1500;

/** Milliseconds for which a sight goes before a server's word: processes tell each 500. */
const NEWER_SIGHT_MS = 700;

/** What an entry believes of one rank group. */
export class GroupBelief {
  readonly name: string;
  /** Lets in requests that are late already. */
  readonly lateAdmission = new LateAdmission();
  /** How many requests it can process in time. */
  readonly capacity = new GroupCapacity();
  #isOpen = true;
  #seenAt = Number.NEGATIVE_INFINITY;

  /** Taken to run until it is seen not to. */
  constructor(name: string) {
    this.name = name;
  }

  /** Milliseconds since an engine of the group was looked at. */
  ageAt(now: number): number {
    return now - this.#seenAt;
  }

  /** Whether the group is known not to run, so that requests would only wait. */
  isClosed(now: number): boolean {
    return !this.#isOpen && this.ageAt(now) < SIGHT_LIMIT_MS;
  }

  /**
   * A server said that another rank keeps it from its work. It may have stood still for a
   * second before it said so, so a newer sight of a process goes first. Returns whether
   * that changed what is believed.
   */
  seeLostByServer(now: number): boolean {
    if (this.ageAt(now) < NEWER_SIGHT_MS) return false;
    return this.see({ isOpen: false, seenAt: now });
  }

  /** Takes in a sight; returns whether it changed what is believed. */
  see(sight: GroupSight): boolean {
    if (sight.seenAt < this.#seenAt) return false;
    const hasChanged = sight.isOpen !== this.#isOpen;
    this.#isOpen = sight.isOpen;
    this.#seenAt = sight.seenAt;
    return hasChanged;
  }
}
