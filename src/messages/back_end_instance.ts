/**
 * The back ends that register themselves with the platform.
 *
 * @module
 */

/** One incarnation of a back end. */
export interface BackEndInstance {
  /** Identifies the incarnation; never used again. */
  readonly id: string;
  /** What it calls itself; one that starts again may keep its name. */
  readonly name: string;
  /** When it started, in Unix milliseconds of its own clock, if it says so. */
  readonly startedAt?: number;
  /** Host and port. */
  readonly address: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly concurrency: number;
  readonly state: "serving" | "leaving";
  /** Whether its list entry says that it still warms up; undefined: it does not say. */
  readonly isCold?: boolean;
}

/** What the list entry of a back end says of how long it warms up. */
export type ColdnessWord =
  | { readonly kind: "untold" }
  | { readonly kind: "told"; readonly leftMs: number }
  /** It says something else; `text` is what, shortened. */
  | { readonly kind: "unreadable"; readonly text: string };
