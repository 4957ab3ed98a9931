/**
 * Provides a queue of events in virtual time.
 *
 * @module
 */

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their virtual times. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #now = 0;
  #order = 0;

  /** The current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a callback after some virtual milliseconds. */
  after(milliseconds: number, run: () => void): void {
    this.#push({ at: this.#now + milliseconds, order: this.#order++, run });
  }

  /** Runs all callbacks that are scheduled up to a virtual time. */
  runUntil(end: number): void {
    while (
      this.#heap.length > 0 && (this.#heap[0] as ScheduledEvent).at <= end
    ) {
      const event = this.#pop();
      this.#now = event.at;
      event.run();
    }
    this.#now = end;
  }

  #push(event: ScheduledEvent): void {
    this.#heap.push(event);
    let index = this.#heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #pop(): ScheduledEvent {
    const first = this.#heap[0] as ScheduledEvent;
    const last = this.#heap.pop() as ScheduledEvent;
    if (this.#heap.length === 0) return first;
    this.#heap[0] = last;
    let index = 0;
    while (true) {
      const child = this.#smallerChild(index);
      if (child === undefined || !this.#isBefore(child, index)) return first;
      this.#swap(index, child);
      index = child;
    }
  }

  #smallerChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.#heap.length) return undefined;
    if (right >= this.#heap.length) return left;
    return this.#isBefore(right, left) ? right : left;
  }

  #isBefore(left: number, right: number): boolean {
    const one = this.#heap[left] as ScheduledEvent;
    const other = this.#heap[right] as ScheduledEvent;
    return one.at < other.at ||
      (one.at === other.at && one.order < other.order);
  }

  #swap(left: number, right: number): void {
    const one = this.#heap[left] as ScheduledEvent;
    this.#heap[left] = this.#heap[right] as ScheduledEvent;
    this.#heap[right] = one;
  }
}
