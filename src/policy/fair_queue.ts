/**
 * A bounded queue with fair scheduling: by priority first, then by weight among
 * organisations, then in order of arrival. Targets queue work in it, and entries queue
 * requests that wait for a target.
 *
 * @module
 */
import { LEAST_PRIORITY, type Priority } from "../messages/priority.ts";

/** All priorities, most urgent first. */
export const PRIORITIES: readonly Priority[] = Array.from(
  { length: LEAST_PRIORITY + 1 },
  (_, priority) => priority,
);

/** The scheduling properties of a queued item. */
export interface QueuedItem {
  readonly organisation: string;
  readonly weight: number;
  readonly priority: Priority;
  /** The item is dropped unless it starts by this time, see {@link latestStart}. */
  readonly startBy: number;
}

/**
 * Fraction of the remaining time for which work may wait. Work that starts at the last
 * moment mostly ends too late and delays other work, and the caller of a dropped request
 * should learn of it in time to retry.
 */
const LONGEST_WAIT_SHARE = 0.5;

/**
 * Returns the latest time at which work must start.
 *
 * @example
 * ```ts
 * const startBy = latestStart(now, request.remainingMs);
 * ```
 */
export function latestStart(now: number, remainingMs: number): number {
  return now + LONGEST_WAIT_SHARE * remainingMs;
}

/**
 * Maximum number of idle organisation queues that an empty fair queue keeps. Their
 * virtual times matter little then, and there may be some ten thousand organisations.
 */
const MOST_IDLE_LINES = 1000;

interface OrganisationLine<T> {
  readonly items: T[];
  /** Virtual time at which the organisation's next item is due. */
  dueAt: number;
}

interface Lane<T> {
  readonly lines: Map<string, OrganisationLine<T>>;
  virtualNow: number;
}

/** A bounded queue with fair scheduling among organisations. */
export class FairQueue<T extends QueuedItem> {
  readonly #limit: number;
  readonly #lanes = new Map<Priority, Lane<T>>();
  #length = 0;

  /** Holds up to `limit` items of all organisations together. */
  constructor(limit: number) {
    this.#limit = limit;
    for (const priority of PRIORITIES) {
      this.#lanes.set(priority, { lines: new Map(), virtualNow: 0 });
    }
  }

  /** Number of queued items. */
  get length(): number {
    return this.#length;
  }

  /**
   * Adds an item. When the queue is full, the newest item of the organisation with the
   * longest queue relative to its weight is dropped, so that one organisation that floods
   * the queue does not affect the others.
   *
   * @returns the dropped item, which may be the added one, or undefined
   *
   * @example
   * ```ts
   * const dropped = queue.add(item);
   * if (dropped !== undefined) refuse(dropped, "QUEUE_FULL");
   * ```
   */
  add(item: T): T | undefined {
    this.#push(item);
    if (this.#length <= this.#limit) return undefined;
    return this.#dropFromLongestLine();
  }

  /** Removes and returns the next item, or undefined if the queue is empty. */
  tryTake(): T | undefined {
    for (const priority of PRIORITIES) {
      const item = this.#tryTakeFrom(this.#laneOf(priority));
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /**
   * Returns all items in scheduling order without removing them, as some may not be able
   * to start yet.
   */
  inOrder(): readonly T[] {
    return PRIORITIES.flatMap((priority) => orderOf(this.#laneOf(priority)));
  }

  /** Removes an item regardless of its position and charges its organisation for it. */
  take(item: T): void {
    const lane = this.#laneOf(item.priority);
    const line = lane.lines.get(item.organisation);
    const place = line?.items.indexOf(item) ?? -1;
    if (line === undefined || place < 0) return;
    line.items.splice(place, 1);
    this.#charge(lane, line, item);
    if (this.#length === 0 && lane.lines.size > MOST_IDLE_LINES) {
      lane.lines.clear();
    }
  }

  /**
   * Removes the newest item of the longest organisation queue at the least urgent
   * priority.
   */
  tryDrop(): T | undefined {
    return this.#dropFromLongestLine();
  }

  /** Removes and returns every item for which `isUnwanted` holds. */
  removeWhere(isUnwanted: (item: T) => boolean): readonly T[] {
    const removed: T[] = [];
    for (const lane of this.#lanes.values()) {
      for (const line of lane.lines.values()) {
        const kept = line.items.filter((item) => !isUnwanted(item));
        removed.push(...line.items.filter(isUnwanted));
        line.items.splice(0, line.items.length, ...kept);
      }
    }
    this.#length -= removed.length;
    return removed;
  }

  #push(item: T): void {
    const lane = this.#laneOf(item.priority);
    let line = lane.lines.get(item.organisation);
    if (line === undefined) {
      line = { items: [], dueAt: lane.virtualNow };
      lane.lines.set(item.organisation, line);
    }
    // An idle organisation gains no credit over the others.
    if (line.items.length === 0) {
      line.dueAt = Math.max(line.dueAt, lane.virtualNow);
    }
    line.items.push(item);
    this.#length++;
  }

  #tryTakeFrom(lane: Lane<T>): T | undefined {
    let first: OrganisationLine<T> | undefined;
    for (const [name, line] of lane.lines) {
      if (line.items.length === 0) forgetIfCaughtUp(lane, name);
      else if (first === undefined || line.dueAt < first.dueAt) first = line;
    }
    const item = first?.items.shift();
    if (first === undefined || item === undefined) return undefined;
    this.#charge(lane, first, item);
    return item;
  }

  #charge(lane: Lane<T>, line: OrganisationLine<T>, { weight }: T): void {
    lane.virtualNow = Math.max(lane.virtualNow, line.dueAt);
    line.dueAt += 1 / weight;
    this.#length--;
  }

  #dropFromLongestLine(): T | undefined {
    for (const priority of PRIORITIES.toReversed()) {
      const lane = this.#laneOf(priority);
      const longest = longestLine(lane);
      if (longest === undefined) continue;
      this.#length--;
      return longest.items.pop();
    }
    return undefined;
  }

  #laneOf(priority: Priority): Lane<T> {
    return this.#lanes.get(priority) as Lane<T>;
  }
}

/** Returns the items of a lane in scheduling order. */
function orderOf<T extends QueuedItem>(lane: Lane<T>): readonly T[] {
  const lines = [...lane.lines.values()]
    .filter(({ items }) => items.length > 0)
    .map(({ items, dueAt }) => ({ items, dueAt, next: 0 }));
  const ordered: T[] = [];
  while (true) {
    let first: (typeof lines)[number] | undefined;
    for (const line of lines) {
      if (line.next >= line.items.length) continue;
      if (first === undefined || line.dueAt < first.dueAt) first = line;
    }
    const item = first?.items[first.next];
    if (first === undefined || item === undefined) return ordered;
    ordered.push(item);
    first.next++;
    first.dueAt += 1 / item.weight;
  }
}

/**
 * Removes an empty organisation queue once the lane's virtual time has reached its due
 * time. If it were removed earlier, an organisation that sends one item at a time would
 * get ahead of the others.
 */
function forgetIfCaughtUp<T>(lane: Lane<T>, name: string): void {
  const line = lane.lines.get(name);
  if (line !== undefined && line.dueAt <= lane.virtualNow) {
    lane.lines.delete(name);
  }
}

function longestLine<T extends QueuedItem>(
  lane: Lane<T>,
): OrganisationLine<T> | undefined {
  let longest: OrganisationLine<T> | undefined;
  let longestShare = 0;
  for (const line of lane.lines.values()) {
    const share = line.items.length / (line.items[0]?.weight ?? 1);
    if (share <= longestShare) continue;
    longest = line;
    longestShare = share;
  }
  return longest;
}
