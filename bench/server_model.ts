/**
 * A page of model of a model server: steps in which waiting prompts are
 * computed block by block and every running request gets a token.
 *
 * Assumptions: a step takes a base time, more for each running request and for
 * each block computed; blocks in the cache cost nothing; the cache forgets what
 * was unused for longest.
 *
 * @module
 */
import type { EventQueue } from "../src/testing/event_queue.ts";

/** A request as a server sees it. */
export interface ServedRequest {
  /** Hashes of the prompt's blocks. */
  readonly blocks: readonly string[];
  readonly tokens: number;
  onFirstToken(): void;
  onDone(milliseconds: number): void;
}

/** What is wrong with a server. */
export type ServerFault = "none" | "slow" | "fails_fast" | "frozen";

interface Sequence {
  readonly request: ServedRequest;
  missing: number;
  produced: number;
  startedAt: number;
}

/** Requests that one server runs at once. */
export const SERVER_CONCURRENCY = 24;

const BASE_STEP_MS = 5;
const STEP_MS_PER_SEQUENCE = 0.25;
const STEP_MS_PER_BLOCK = 1.5;
const BLOCKS_PER_STEP = 8;
const CACHED_BLOCKS = 600;
const SLOWDOWN = 10;

/** One model server. */
export class ServerModel {
  readonly #events: EventQueue;
  readonly #waiting: Sequence[] = [];
  readonly #running = new Set<Sequence>();
  readonly #cache = new Set<string>();
  #isStepping = false;
  #blocksAsked = 0;
  #blocksFound = 0;
  /** What is wrong with it. */
  fault: ServerFault = "none";

  /** Begins idle. */
  constructor(events: EventQueue) {
    this.#events = events;
  }

  /** Requests that wait or run. */
  get load(): number {
    return this.#waiting.length + this.#running.size;
  }

  /** Share of blocks that were in the cache. */
  get hitShare(): number {
    return this.#blocksFound / Math.max(1, this.#blocksAsked);
  }

  /** Takes a request in; false when it fails at once. */
  tryServe(request: ServedRequest): boolean {
    if (this.fault === "fails_fast") return false;
    const missing = request.blocks.filter((block) => !this.#cache.has(block));
    this.#blocksAsked += request.blocks.length;
    this.#blocksFound += request.blocks.length - missing.length;
    this.#waiting.push({
      request,
      missing: missing.length,
      produced: 0,
      startedAt: 0,
    });
    this.#step();
    return true;
  }

  #step(): void {
    if (this.#isStepping || this.load === 0) return;
    this.#isStepping = true;
    const blocks = this.#takeBlocks();
    const milliseconds = BASE_STEP_MS +
      STEP_MS_PER_SEQUENCE * this.#running.size + STEP_MS_PER_BLOCK * blocks;
    this.#events.after(milliseconds * this.#slowdown(), () => {
      this.#isStepping = false;
      this.#endStep();
      this.#step();
    });
  }

  #slowdown(): number {
    if (this.fault === "frozen") return Number.MAX_SAFE_INTEGER;
    return this.fault === "slow" ? SLOWDOWN : 1;
  }

  #takeBlocks(): number {
    let left = BLOCKS_PER_STEP;
    for (const sequence of [...this.#waiting]) {
      if (this.#running.size >= SERVER_CONCURRENCY) break;
      const taken = Math.min(left, sequence.missing);
      sequence.missing -= taken;
      left -= taken;
      if (sequence.missing > 0) break;
      this.#waiting.shift();
      this.#running.add(sequence);
      this.#remember(sequence.request.blocks);
    }
    return BLOCKS_PER_STEP - left;
  }

  #remember(blocks: readonly string[]): void {
    for (const block of blocks) {
      this.#cache.delete(block);
      this.#cache.add(block);
    }
    for (const block of this.#cache) {
      if (this.#cache.size <= CACHED_BLOCKS) return;
      this.#cache.delete(block);
    }
  }

  #endStep(): void {
    for (const sequence of [...this.#running]) {
      sequence.produced++;
      if (sequence.produced === 1) {
        sequence.startedAt = this.#events.now;
        sequence.request.onFirstToken();
      }
      if (sequence.produced < sequence.request.tokens) continue;
      this.#running.delete(sequence);
      sequence.request.onDone(this.#events.now - sequence.startedAt);
    }
  }
}
