/**
 * Types for the back ends that register with the platform.
 *
 * @module
 */

import type { SocketAddress } from "./socket_address.ts";

/** One incarnation of a back end. */
export interface BackEndInstance {
  /** Identifies the incarnation; never reused. */
  readonly id: string;
  /** Name of the back end, which may be the same in several incarnations. */
  readonly name: string;
  /** Start time in Unix milliseconds of the back end's own clock, if it is known. */
  readonly startedAt?: number;
  readonly address: SocketAddress;
  readonly pool: string;
  readonly failureDomain: string;
  /** Requests that the back end runs concurrently. */
  readonly concurrency: number;
  readonly state: "serving" | "leaving";
  /** Whether the back end is registered as warming up; undefined: not specified. */
  readonly isCold?: boolean;
}

/** What the registration of a back end states about its remaining warm-up time. */
export type ColdnessReport =
  | { readonly kind: "untold" }
  | { readonly kind: "told"; readonly leftMs: number }
  /** The value cannot be parsed; `text` is the value, truncated. */
  | { readonly kind: "unreadable"; readonly text: string };
