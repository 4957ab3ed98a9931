/**
 * Finds the bodies that a snapshot consists of.
 *
 * @module
 */
import type { SettingsSnapshot } from "./snapshot.ts";

/** Returns the hashes of the root, the pages and the records of a snapshot. */
export function getReachableHashes(
  snapshot: SettingsSnapshot,
): ReadonlySet<string> {
  const hashes = new Set([snapshot.head.root]);
  for (const page of Object.values(snapshot.tree.pageHashes)) hashes.add(page);
  for (const [, record] of snapshot.tree.entries()) hashes.add(record);
  return hashes;
}
