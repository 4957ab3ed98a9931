/**
 * A bounded queue with fair scheduling: by priority first, then by weight among
 * organisations, then by the time that an item can still wait. Targets queue work in it,
 * and entries queue requests that wait for a target.
 *
 * @module
 */
import { LOWEST_PRIORITY, type Priority } from "../messages/priority.ts";

/** All priorities, most urgent first. */
export const PRIORITIES: readonly Priority[] = Array.from(
  { length: LOWEST_PRIORITY + 1 },
  (_, priority) => priority,
);

/** The scheduling properties of a queued item. */
export interface QueuedItem {
  readonly organisation: string;
  readonly weight: number;
  readonly priority: Priority;
  /** The item is dropped unless it starts by this time, in milliseconds. */
  readonly startBy: number;
}

/**
 * Maximum number of idle organisation queues that an empty fair queue keeps. Their
 * virtual times matter little then, and there may be some ten thousand organisations.
 */
const MAX_IDLE_QUEUES = 1000;

interface OrganisationQueue<T> {
  /** Sorted by the time by which they must start. */
  readonly items: T[];
  /** Virtual time at which the organisation's next item is due. */
  dueAt: number;
}

interface Lane<T> {
  readonly queues: Map<string, OrganisationQueue<T>>;
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
      this.#lanes.set(priority, { queues: new Map(), virtualNow: 0 });
    }
  }

  /** Number of queued items. */
  get length(): number {
    return this.#length;
  }

  /**
   * Adds an item. When the queue is full, the organisation with the longest queue relative
   * to its weight, among those at the least urgent priority, loses the item that could
   * wait longest: the others are not affected by an organisation that floods the queue,
   * and the caller of that item has most time left to try again.
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
    return this.#dropFromLongestQueue();
  }

  /** Removes and returns the next item, or undefined if the queue is empty. */
  tryTake(): T | undefined {
    for (const priority of PRIORITIES) {
      const item = this.#tryTakeFrom(this.#getLane(priority));
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /**
   * Returns all items in scheduling order without removing them, as some may not be able
   * to start yet.
   */
  listInOrder(): readonly T[] {
    return PRIORITIES.flatMap((priority) =>
      getSchedulingOrder(this.#getLane(priority))
    );
  }

  /** Removes an item regardless of its position and charges its organisation for it. */
  take(item: T): void {
    const lane = this.#getLane(item.priority);
    const queue = lane.queues.get(item.organisation);
    const index = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || index < 0) return;
    queue.items.splice(index, 1);
    this.#charge(lane, queue, item);
    if (this.#length === 0 && lane.queues.size > MAX_IDLE_QUEUES) {
      lane.queues.clear();
    }
  }

  /** Removes and returns every item for which `isUnwanted` holds. */
  removeWhere(isUnwanted: (item: T) => boolean): readonly T[] {
    const removed: T[] = [];
    for (const lane of this.#lanes.values()) {
      for (const queue of lane.queues.values()) {
        const kept = queue.items.filter((item) => !isUnwanted(item));
        removed.push(...queue.items.filter(isUnwanted));
        queue.items.splice(0, queue.items.length, ...kept);
      }
    }
    this.#length -= removed.length;
    return removed;
  }

  #push(item: T): void {
    const lane = this.#getLane(item.priority);
    let queue = lane.queues.get(item.organisation);
    if (queue === undefined) {
      queue = { items: [], dueAt: lane.virtualNow };
      lane.queues.set(item.organisation, queue);
    }
    // An idle organisation gains no credit over the others.
    if (queue.items.length === 0) {
      queue.dueAt = Math.max(queue.dueAt, lane.virtualNow);
    }
    const later = queue.items.findIndex(({ startBy }) =>
      startBy > item.startBy
    );
    queue.items.splice(later < 0 ? queue.items.length : later, 0, item);
    this.#length++;
  }

  #tryTakeFrom(lane: Lane<T>): T | undefined {
    let first: OrganisationQueue<T> | undefined;
    for (const [name, queue] of lane.queues) {
      if (queue.items.length === 0) removeIfCaughtUp(lane, name);
      else if (first === undefined || queue.dueAt < first.dueAt) first = queue;
    }
    const item = first?.items.shift();
    if (first === undefined || item === undefined) return undefined;
    this.#charge(lane, first, item);
    return item;
  }

  #charge(lane: Lane<T>, queue: OrganisationQueue<T>, { weight }: T): void {
    lane.virtualNow = Math.max(lane.virtualNow, queue.dueAt);
    queue.dueAt += 1 / weight;
    this.#length--;
  }

  #dropFromLongestQueue(): T | undefined {
    for (const priority of PRIORITIES.toReversed()) {
      const lane = this.#getLane(priority);
      const longest = findLongestQueue(lane);
      if (longest === undefined) continue;
      this.#length--;
      return longest.items.pop();
    }
    return undefined;
  }

  #getLane(priority: Priority): Lane<T> {
    return this.#lanes.get(priority) as Lane<T>;
  }
}

/** Returns the items of a lane in scheduling order. */
function getSchedulingOrder<T extends QueuedItem>(lane: Lane<T>): readonly T[] {
  const queues = [...lane.queues.values()]
    .filter(({ items }) => items.length > 0)
    .map(({ items, dueAt }) => ({ items, dueAt, next: 0 }));
  const ordered: T[] = [];
  while (true) {
    let first: (typeof queues)[number] | undefined;
    for (const queue of queues) {
      if (queue.next >= queue.items.length) continue;
      if (first === undefined || queue.dueAt < first.dueAt) first = queue;
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
function removeIfCaughtUp<T>(lane: Lane<T>, name: string): void {
  const queue = lane.queues.get(name);
  if (queue !== undefined && queue.dueAt <= lane.virtualNow) {
    lane.queues.delete(name);
  }
}

function findLongestQueue<T extends QueuedItem>(
  lane: Lane<T>,
): OrganisationQueue<T> | undefined {
  let longest: OrganisationQueue<T> | undefined;
  let longestShare = 0;
  for (const queue of lane.queues.values()) {
    const share = queue.items.length / (queue.items[0]?.weight ?? 1);
    if (share <= longestShare) continue;
    longest = queue;
    longestShare = share;
  }
  return longest;
}
