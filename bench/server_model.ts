/**
 * Simplified model of a model server. In each step it computes blocks of waiting prompts
 * and produces one token for every running request.
 *
 * Assumptions: a step takes a base time plus a time for each running request and for
 * each computed block. Cached blocks take no time. The cache evicts the least recently
 * used blocks.
 *
 * @module
 */
import type { EventQueue } from "../src/testing/event_queue.ts";

/** A request to a server. */
export interface ServedRequest {
  /** Hashes of the prompt's blocks. */
  readonly blocks: readonly string[];
  readonly tokens: number;
  onFirstToken(): void;
  onDone(milliseconds: number): void;
}

/** Fault of a server. */
export type ServerFault = "none" | "slow" | "fails_fast" | "frozen";

interface Sequence {
  readonly request: ServedRequest;
  missingBlocks: number;
  producedTokens: number;
  firstTokenAt: number;
}

/** Maximum number of requests that one server runs concurrently. */
export const SERVER_CONCURRENCY = 24;

const BASE_STEP_MS = 5;
const STEP_MS_PER_SEQUENCE = 0.25;
const STEP_MS_PER_BLOCK = 1.5;
const BLOCKS_PER_STEP = 8;
const MAX_CACHED_BLOCKS = 600;
const SLOW_SERVER_FACTOR = 10;

/** One model server. */
export class ServerModel {
  readonly #events: EventQueue;
  readonly #waiting: Sequence[] = [];
  readonly #running = new Set<Sequence>();
  readonly #cache = new Set<string>();
  #isStepping = false;
  #requestedBlocks = 0;
  #cachedBlocks = 0;
  /** Current fault. */
  fault: ServerFault = "none";

  /** Creates an idle server. */
  constructor(events: EventQueue) {
    this.#events = events;
  }

  /** Number of requests that are waiting or running. */
  get load(): number {
    return this.#waiting.length + this.#running.size;
  }

  /** Fraction of prompt blocks that were found in the cache. */
  get cacheHitFraction(): number {
    return this.#cachedBlocks / Math.max(1, this.#requestedBlocks);
  }

  /** Accepts a request, or returns false if it fails immediately. */
  tryServe(request: ServedRequest): boolean {
    if (this.fault === "fails_fast") return false;
    const missingBlocks = request.blocks.filter((block) =>
      !this.#cache.has(block)
    );
    this.#requestedBlocks += request.blocks.length;
    this.#cachedBlocks += request.blocks.length - missingBlocks.length;
    this.#waiting.push({
      request,
      missingBlocks: missingBlocks.length,
      producedTokens: 0,
      firstTokenAt: 0,
    });
    this.#startStep();
    return true;
  }

  #startStep(): void {
    if (this.#isStepping || this.load === 0) return;
    this.#isStepping = true;
    const blocks = this.#computePrompts();
    const milliseconds = BASE_STEP_MS +
      STEP_MS_PER_SEQUENCE * this.#running.size + STEP_MS_PER_BLOCK * blocks;
    this.#events.after(milliseconds * this.#getSlowdown(), () => {
      this.#isStepping = false;
      this.#finishStep();
      this.#startStep();
    });
  }

  #getSlowdown(): number {
    if (this.fault === "frozen") return Number.MAX_SAFE_INTEGER;
    return this.fault === "slow" ? SLOW_SERVER_FACTOR : 1;
  }

  #computePrompts(): number {
    let remaining = BLOCKS_PER_STEP;
    for (const sequence of [...this.#waiting]) {
      if (this.#running.size >= SERVER_CONCURRENCY) break;
      const computed = Math.min(remaining, sequence.missingBlocks);
      sequence.missingBlocks -= computed;
      remaining -= computed;
      if (sequence.missingBlocks > 0) break;
      this.#waiting.shift();
      this.#running.add(sequence);
      this.#cacheBlocks(sequence.request.blocks);
    }
    return BLOCKS_PER_STEP - remaining;
  }

  #cacheBlocks(blocks: readonly string[]): void {
    for (const block of blocks) {
      this.#cache.delete(block);
      this.#cache.add(block);
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= MAX_CACHED_BLOCKS) return;
      this.#cache.delete(block);
    }
  }

  #finishStep(): void {
    for (const sequence of [...this.#running]) {
      sequence.producedTokens++;
      if (sequence.producedTokens === 1) {
        sequence.firstTokenAt = this.#events.now;
        sequence.request.onFirstToken();
      }
      if (sequence.producedTokens < sequence.request.tokens) continue;
      this.#running.delete(sequence);
      sequence.request.onDone(this.#events.now - sequence.firstTokenAt);
    }
  }
}
