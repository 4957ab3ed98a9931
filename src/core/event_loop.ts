/**
 * Turns of the event loop.
 *
 * @module
 */

/**
 * Ends when everything was read that had arrived by now: the connections that are
 * readable are looked at once a turn, between two of the callbacks used here.
 *
 * @example
 * ```ts
 * await turnEventLoop();
 * ```
 */
export async function turnEventLoop(): Promise<void> {
  await nextImmediate();
  await nextImmediate();
}

function nextImmediate(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
