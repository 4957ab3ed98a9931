/**
 * Tracks which target last received which prompt prefix. Only requests sent by this entry
 * are tracked, as the engines' cache events are late and incomplete.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Bytes of a prompt block. */
const BLOCK_BYTES = 1024;
/** Maximum number of blocks of one prompt that are hashed. */
const MAX_BLOCKS = 64;
/** Maximum number of blocks in the index; the least recently used ones are evicted. */
const MAX_INDEXED_BLOCKS = 20_000;
const HASH_CHARACTERS = 16;

/** Tracks which target last received which prompt prefix. */
export class PrefixIndex {
  readonly #limit: number;
  /** Target by block, in order of last use. */
  readonly #targetByBlock = new Map<string, string>();

  /** Holds up to `limit` blocks. */
  constructor(limit: number = MAX_INDEXED_BLOCKS) {
    this.#limit = limit;
  }

  /** Records that a prompt with these blocks was sent to a target. */
  record(blocks: readonly string[], targetName: string): void {
    for (const block of blocks) {
      this.#targetByBlock.delete(block);
      this.#targetByBlock.set(block, targetName);
    }
    while (this.#targetByBlock.size > this.#limit) this.#evictOldest();
  }

  /**
   * Returns the number of leading blocks that each target is assumed to have in its
   * cache.
   */
  countCachedBlocks(blocks: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const [index, block] of blocks.entries()) {
      const target = this.#targetByBlock.get(block);
      if (target === undefined) break;
      counts.set(target, index + 1);
    }
    return counts;
  }

  /** Removes a target that has lost its cache, or may have. */
  removeTarget(targetName: string): void {
    for (const [block, name] of this.#targetByBlock) {
      if (name === targetName) this.#targetByBlock.delete(block);
    }
  }

  #evictOldest(): void {
    const oldest = this.#targetByBlock.keys().next();
    if (!oldest.done) this.#targetByBlock.delete(oldest.value);
  }
}

/**
 * Hashes a prompt's complete blocks. Each hash includes all preceding blocks, so that
 * equal hashes mean equal prefixes.
 *
 * @example
 * ```ts
 * const blocks = hashPrefixBlocks(body);
 * ```
 */
export function hashPrefixBlocks(prompt: Uint8Array): readonly string[] {
  const blocks: string[] = [];
  let previous = "";
  const count = Math.min(
    MAX_BLOCKS,
    Math.floor(prompt.length / BLOCK_BYTES),
  );
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_BYTES;
    previous = createHash("sha1")
      .update(previous)
      .update(prompt.subarray(start, start + BLOCK_BYTES))
      .digest("hex")
      .slice(0, HASH_CHARACTERS);
    blocks.push(previous);
  }
  return blocks;
}
