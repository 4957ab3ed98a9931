/**
 * Remembers which target last saw which prompt prefix. Only our own sendings
 * are counted: the engines' cache events come late and with gaps.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Bytes of a prompt that make one block. */
const BLOCK_BYTES = 1024;
/** Blocks of one prompt that are looked at. */
const MAX_BLOCKS = 64;
/** Blocks that are remembered; the ones unused for longest are forgotten. */
const MAX_ENTRIES = 20_000;
const HASH_CHARACTERS = 16;

/** Remembers which target last saw which prompt prefix. */
export class PrefixIndex {
  readonly #limit: number;
  /** Target by block, in order of last use. */
  readonly #targetByBlock = new Map<string, string>();

  /** Remembers up to `limit` blocks. */
  constructor(limit: number = MAX_ENTRIES) {
    this.#limit = limit;
  }

  /** A prompt with these blocks was sent to a target. */
  remember(blocks: readonly string[], targetName: string): void {
    for (const block of blocks) {
      this.#targetByBlock.delete(block);
      this.#targetByBlock.set(block, targetName);
    }
    while (this.#targetByBlock.size > this.#limit) this.#forgetOldest();
  }

  /** Leading blocks that each target is thought to have in its cache. */
  cachedBlocks(blocks: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const [index, block] of blocks.entries()) {
      const target = this.#targetByBlock.get(block);
      if (target === undefined) break;
      counts.set(target, index + 1);
    }
    return counts;
  }

  /** The target has lost its cache, or may have. */
  forgetTarget(targetName: string): void {
    for (const [block, name] of this.#targetByBlock) {
      if (name === targetName) this.#targetByBlock.delete(block);
    }
  }

  #forgetOldest(): void {
    const oldest = this.#targetByBlock.keys().next();
    if (!oldest.done) this.#targetByBlock.delete(oldest.value);
  }
}

/**
 * Hashes of a prompt's whole blocks, each over all that comes before it too,
 * so that equal hashes mean equal prefixes.
 *
 * @example
 * ```ts
 * const blocks = prefixBlocksOf(body);
 * ```
 */
export function prefixBlocksOf(prompt: Uint8Array): readonly string[] {
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
