/**
 * A bounded queue that is shared fairly: by priority first, then between
 * organisations by weight, then in order of arrival. Targets queue work in it, and entries
 * the requests that wait for a target.
 *
 * @module
 */
import { LEAST_PRIORITY, type Priority } from "../messages/priority.ts";

/** Priorities, most urgent first. */
export const PRIORITIES: readonly Priority[] = Array.from(
  { length: LEAST_PRIORITY + 1 },
  (_, priority) => priority,
);

/** What the queue must know of an item. */
export interface QueuedItem {
  readonly organisation: string;
  readonly weight: number;
  readonly priority: Priority;
  /** The work is given up unless it starts by then, see {@link latestStart}. */
  readonly startBy: number;
}

/**
 * Share of the time up to its deadline that work may wait. What starts at the
 * last moment mostly ends too late, and so costs others their turn; and who is
 * given up should hear of it in time to come back.
 */
const LONGEST_WAIT_SHARE = 0.5;

/**
 * When work must start at the latest.
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
 * Lines of organisations without items that an empty queue keeps. Their turns matter little
 * then, and there may be some ten thousand organisations.
 */
const MOST_IDLE_LINES = 1000;

interface OrganisationLine<T> {
  readonly items: T[];
  /** Virtual time at which the next item of the organisation is due. */
  dueAt: number;
}

interface Lane<T> {
  readonly lines: Map<string, OrganisationLine<T>>;
  virtualNow: number;
}

/** A bounded queue, fair between organisations. */
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

  /** Items that wait. */
  get length(): number {
    return this.#length;
  }

  /**
   * Adds an item. When the queue is full, the organisation with the longest
   * line for its weight gives up its newest item, so that a flood by one
   * organisation costs the others nothing.
   *
   * @returns the item that finds no room: another, this one, or undefined
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

  /** Takes the item that is due, or undefined when none waits. */
  tryTake(): T | undefined {
    for (const priority of PRIORITIES) {
      const item = this.#tryTakeFrom(this.#laneOf(priority));
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /**
   * All items in the order in which they would be taken, without taking any: some of them
   * may not be able to go yet.
   */
  inOrder(): readonly T[] {
    return PRIORITIES.flatMap((priority) => orderOf(this.#laneOf(priority)));
  }

  /** Takes an item out of its turn; its organisation's next item is due later for it. */
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

  /** Takes out the newest item of the longest line among the least urgent. */
  tryDrop(): T | undefined {
    return this.#dropFromLongestLine();
  }

  /** Takes out every item for which `isUnwanted` holds. */
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
    // Time in which an organisation asked for nothing is no credit against the others.
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

/** Items of a lane as organisations take turns by weight. */
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
 * An emptied line keeps its due time until the lane has caught up with it;
 * otherwise an organisation that sends one at a time would jump the others.
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
