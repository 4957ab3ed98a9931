/**
 * Joins the pieces of a request body as they arrive. A buffer of its own costs some
 * hundred bytes, so that a body in many pieces would occupy a multiple of its length.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const MIN_BLOCK_BYTES = 1024;
/** Length of a piece that becomes a block itself instead of being copied. */
const MIN_KEPT_BYTES = 16_384;
const MAX_BLOCK_BYTES = 65_536;
const NO_BYTES = Buffer.alloc(0);

/** A body of which the rest may still arrive. */
export class BodyBuffer {
  /** Full blocks. */
  readonly #blocks: Uint8Array[] = [];
  /** The block that is filled; a body in one piece is its piece. */
  #block: Uint8Array = NO_BYTES;
  #used = 0;
  #blockBytes = 0;
  #length = 0;

  /** Length of the body so far, in bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the body occupies. */
  get heldBytes(): number {
    return this.#blockBytes + this.#block.length;
  }

  /**
   * Adds a piece.
   *
   * @example
   * ```ts
   * body.append(Buffer.from("{"));
   * ```
   */
  append(piece: Uint8Array): void {
    const isKept = this.#length === 0 || piece.length >= MIN_KEPT_BYTES;
    this.#length += piece.length;
    if (isKept) this.#addBlock(piece, piece.length);
    else this.#copy(piece);
  }

  /** Returns the whole body; nothing may be added afterwards. */
  take(): Uint8Array {
    const rest = this.#block.subarray(0, this.#used);
    if (this.#blocks.length === 0) return rest;
    return Buffer.concat([...this.#blocks, rest], this.#length);
  }

  #copy(piece: Uint8Array): void {
    let from = 0;
    while (from < piece.length) {
      if (this.#used === this.#block.length) this.#startBlock();
      const count = Math.min(
        piece.length - from,
        this.#block.length - this.#used,
      );
      this.#block.set(piece.subarray(from, from + count), this.#used);
      this.#used += count;
      from += count;
    }
  }

  /** Starts a block as long as the body so far, within bounds. */
  #startBlock(): void {
    const length = Math.max(MIN_BLOCK_BYTES, this.heldBytes);
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, length));
    this.#addBlock(block, 0);
  }

  /** Adds a block; of the block before, only what is used is kept. */
  #addBlock(block: Uint8Array, used: number): void {
    if (this.#used > 0) {
      const isFull = this.#used === this.#block.length;
      const full = isFull
        ? this.#block
        : new Uint8Array(this.#block.subarray(0, this.#used));
      this.#blocks.push(full);
      this.#blockBytes += full.length;
    }
    this.#block = block;
    this.#used = used;
  }
}
