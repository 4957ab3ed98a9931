/**
 * Invariants and exhaustiveness checks, used in every part.
 *
 * @module
 */

/** Thrown when an invariant of the program itself does not hold. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Statements about the program that must be true whatever its input. */
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
   * Returns `value` when it is there and throws otherwise.
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
 * Closes a switch over a union: reaching it at run time is a fault of ours.
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
