/**
 * Assertions and exhaustiveness checks.
 *
 * @module
 */

/** Thrown when an invariant of the program does not hold. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Assertions about invariants of the program, which must hold for any input. */
export class Debug {
  /**
   * Throws an {@link InvariantError} unless `condition` holds.
   *
   * @example
   * ```ts
   * Debug.assert(queue.length <= limit, "Queue is longer than its limit");
   * ```
   */
  static assert(condition: boolean, message: string): asserts condition {
    if (!condition) throw new InvariantError(message);
  }

  /**
   * Returns `value` if it is defined; throws an {@link InvariantError} otherwise.
   *
   * @example
   * ```ts
   * const route = Debug.getDefined(routes.get(name), "Route must exist");
   * ```
   */
  static getDefined<T>(value: T | undefined, message: string): T {
    if (value === undefined) throw new InvariantError(message);
    return value;
  }
}

/**
 * Marks the default case of an exhaustive switch over a union; reaching it at run time
 * is a bug.
 *
 * @example
 * ```ts
 * default:
 *   assertNever(event);
 * ```
 */
export function assertNever(value: never): never {
  throw new InvariantError(`Unexpected value: ${JSON.stringify(value)}`);
}
