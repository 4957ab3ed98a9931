/**
 * Options and state of the server of callers.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { PermitRequest } from "../policy/send_permits.ts";
import type { Metrics } from "../process/metrics.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { EntryReducer } from "./entry_reducer.ts";

/** Options of a {@link RequestServer}. */
export interface RequestServerOptions {
  readonly reducer: EntryReducer;
  readonly protocol: CallerProtocol;
  readonly metrics: Metrics;
  readonly log: EventLog;
  /** Maximum bytes held for all callers together; undefined: only a limit per caller. */
  readonly heldBytesLimit?: number;
  /** Open files and sockets that the process may have; undefined: not limited. */
  readonly descriptorLimit?: number;
  /** Called after the process stalled; requests wait until the promise settles. */
  readonly onStalled: (gapMs: number) => Promise<void>;
  /** Called when state that is replicated to other entries has changed. */
  readonly onReplicatedStateChanged?: () => void;
  /** Called to request permits from another entry. */
  readonly onPermitsRequested?: (permitRequest: PermitRequest) => void;
}

/** A caller's request that was read completely. */
export interface CallerArrival {
  readonly connection: CallerConnection;
  /** When the head of the request was read. */
  readonly headReadAt: number;
}

/** A caller's request that has not been answered. */
export interface CallerExchange extends CallerArrival {
  /** Completes the HTTP handler. */
  readonly close: () => void;
}
