/**
 * Tells another entry what this one remembers of one matter. All of it is told whenever the
 * other one's memory is known to differ, so that whoever restarts, or was cut off, has all of
 * it after one question.
 *
 * @module
 */
import type { MemoryNews } from "../../messages/peer_types.ts";

/** Content of a memory that holds nothing. */
export const NOTHING_REMEMBERED = "";

/** What an entry remembers of one matter, in the shape in which it is told. */
export interface TellableMemory<Item> {
  /** In short: the same for the same memory. */
  readonly content: string;
  /** All of it, with ages at a time in milliseconds. */
  list(now: number): readonly Item[];
}

/** Tells one other entry what this one remembers of one matter. */
export class MemoryTeller<Item> {
  readonly #memory: TellableMemory<Item>;
  /** What both remembered, in short, when all was told last. */
  #ownThen: string | undefined;
  #otherThen: string | undefined;

  /** Has told nothing yet. */
  constructor(memory: TellableMemory<Item>) {
    this.#memory = memory;
  }

  /**
   * What is told to one that remembers `other`, in short; undefined: neither remembers any.
   * All is told once for each difference: what the other does not take in, since it
   * has more to remember already, is not told again and again. `now` is in milliseconds.
   *
   * @example
   * ```ts
   * const news = teller.tryTell(NOTHING_REMEMBERED, performance.now());
   * ```
   */
  tryTell(other: string, now: number): MemoryNews<Item> | undefined {
    const { content } = this.#memory;
    const isNothing = content === other && content === NOTHING_REMEMBERED;
    if (isNothing) return undefined;
    const isTold = content === this.#ownThen && other === this.#otherThen;
    if (content === other || isTold) return { content };
    this.#ownThen = content;
    this.#otherThen = other;
    return { content, items: this.#memory.list(now) };
  }
}
