/**
 * Measures processor time and memory of pieces of the program.
 *
 * @module
 */
import process from "node:process";

/** Processor time of repeated work. */
export interface TimeMeasure {
  /** Microseconds of processor time for each repetition. */
  readonly microseconds: number;
}

const ROUNDS = 5;

/**
 * Microseconds of processor time for one repetition: the median of several
 * rounds, after one that does not count.
 */
export function measureMicroseconds(
  repetitions: number,
  work: (repetition: number) => void,
): number {
  const rounds: number[] = [];
  for (let round = 0; round <= ROUNDS; round++) {
    const before = process.cpuUsage();
    for (let index = 0; index < repetitions; index++) work(index);
    const spent = process.cpuUsage(before);
    if (round > 0) rounds.push((spent.user + spent.system) / repetitions);
  }
  return medianOf(rounds);
}

/** Bytes of heap that a value keeps; the collector must be exposed. */
export function measureBytes<T>(create: () => T): {
  readonly bytes: number;
  readonly value: T;
} {
  const before = heapUsed();
  const value = create();
  return { bytes: heapUsed() - before, value };
}

/** Least squares: what one more unit costs, and what none costs. */
export function slopeOf(
  points: readonly { readonly size: number; readonly cost: number }[],
): { readonly slope: number; readonly base: number } {
  const meanSize = meanOf(points.map((point) => point.size));
  const meanCost = meanOf(points.map((point) => point.cost));
  let above = 0;
  let below = 0;
  for (const { size, cost } of points) {
    above += (size - meanSize) * (cost - meanCost);
    below += (size - meanSize) ** 2;
  }
  const slope = above / below;
  return { slope, base: meanCost - slope * meanSize };
}

/** Bytes in use after a collection; the collector must be exposed. */
export function heapUsed(): number {
  if (globalThis.gc === undefined) {
    throw new Error("Run with --expose-gc to measure memory");
  }
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] as number;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
