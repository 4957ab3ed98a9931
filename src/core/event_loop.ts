/**
 * Waits for iterations of the event loop.
 *
 * @module
 */

/**
 * Resolves once all data that has already arrived at the process's sockets was read.
 * The event loop polls sockets once per iteration, between two `setImmediate`
 * callbacks.
 *
 * @example
 * ```ts
 * await waitForPendingReads();
 * ```
 */
export async function waitForPendingReads(): Promise<void> {
  await waitForImmediate();
  await waitForImmediate();
}

function waitForImmediate(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
