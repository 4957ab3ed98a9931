/**
 * Measures processor time and memory of parts of the program.
 *
 * @module
 */
import process from "node:process";

/** Processor time of a repeated operation. */
export interface TimeMeasure {
  /** Microseconds of processor time for each repetition. */
  readonly microseconds: number;
}

const ROUNDS = 5;

/**
 * Returns the microseconds of processor time for one repetition: the median of several
 * rounds, after a warm-up round that is not counted.
 */
export function measureMicroseconds(
  repetitions: number,
  runOnce: (repetition: number) => void,
): number {
  const rounds: number[] = [];
  for (let round = 0; round <= ROUNDS; round++) {
    const before = process.cpuUsage();
    for (let index = 0; index < repetitions; index++) runOnce(index);
    const usage = process.cpuUsage(before);
    if (round > 0) rounds.push((usage.user + usage.system) / repetitions);
  }
  return getMedian(rounds);
}

/** Returns the bytes of heap that a value retains. Requires `--expose-gc`. */
export function measureBytes<T>(create: () => T): {
  readonly bytes: number;
  readonly value: T;
} {
  const before = getHeapBytes();
  const value = create();
  return { bytes: getHeapBytes() - before, value };
}

/**
 * Fits a line to points by least squares: `slope` is the cost of one more unit and
 * `base` the cost of none.
 */
export function fitLine(
  points: readonly { readonly size: number; readonly cost: number }[],
): { readonly slope: number; readonly base: number } {
  const meanSize = getMean(points.map((point) => point.size));
  const meanCost = getMean(points.map((point) => point.cost));
  let covariance = 0;
  let variance = 0;
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
  }
  const slope = covariance / variance;
  return { slope, base: meanCost - slope * meanSize };
}

/** Returns the bytes in use after a garbage collection. Requires `--expose-gc`. */
export function getHeapBytes(): number {
  if (globalThis.gc === undefined) {
    throw new Error("Run with --expose-gc to measure memory");
  }
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] as number;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
