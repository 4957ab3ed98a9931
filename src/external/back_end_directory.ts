/**
 * The back ends that register themselves with the platform.
 *
 * @module
 */

/** One incarnation of a back end. */
export interface BackEndInstance {
  /** Identifies the incarnation; never used again. */
  readonly id: string;
  /** Host and port. */
  readonly address: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly concurrency: number;
  readonly state: "serving" | "leaving";
}
