/**
 * Receives updates from the sidecars of formed groups: the load of the ranks from each
 * decider, and whether the group runs from some ranks in the entry's own failure domain.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { EventName } from "../events/catalogue.ts";
import { LoadReader } from "../group/formed/load_columns.ts";
import type {
  GroupLoad,
  GroupObservationMessage,
} from "../messages/formed_group_types.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import { chooseSubset } from "../policy/target_subset.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/**
 * Maximum number of ranks of each group that an entry follows in its own failure domain.
 * With two, the entry still receives updates after one of their VMs is lost, even if the
 * link to other failure domains is cut.
 */
const MAX_NEAR_RANKS_FOLLOWED = 2;

/** Options of a {@link GroupLoadFollower}. */
export interface GroupLoadFollowerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly onLoad: (load: GroupLoad) => void;
  readonly onObservation: (observation: GroupObservationMessage) => void;
}

/** The reason for a connection to a process. */
type ConnectionPurpose = "decider" | "near rank";

/** Receives updates from the sidecars of formed groups. */
export class GroupLoadFollower {
  readonly #options: GroupLoadFollowerOptions;
  readonly #clients = new Map<SocketAddress, LinkClient>();
  /** Addresses with an open connection. */
  readonly #connected = new Set<SocketAddress>();

  /** Connects to no process yet. */
  constructor(options: GroupLoadFollowerOptions) {
    this.#options = options;
  }

  /**
   * Connects to the sidecar of rank 0 of each group, and to some ranks near this entry.
   */
  setProcesses(processes: readonly ListedProcess[]): void {
    const wanted = this.#chooseProcesses(processes);
    for (const [address, purpose] of wanted) {
      if (!this.#clients.has(address)) this.#dial(address, purpose);
    }
    for (const [address, client] of this.#clients) {
      // While the store is unavailable, a registration may expire although its process is
      // running.
      if (wanted.has(address) || this.#connected.has(address)) continue;
      client.stop();
      this.#clients.delete(address);
    }
  }

  /** Closes all connections. */
  stop(): void {
    for (const client of this.#clients.values()) client.stop();
  }

  #chooseProcesses(
    processes: readonly ListedProcess[],
  ): ReadonlyMap<SocketAddress, ConnectionPurpose> {
    const { name, failureDomain } = this.#options.identity;
    const near = processes.flatMap((one) =>
      one.rank === undefined || one.rank === 0 || one.group === undefined ||
        one.failureDomain !== failureDomain
        ? []
        : [{ ...one, pool: one.group }]
    );
    const chosen = chooseSubset(near, {
      entryName: name,
      failureDomain,
      limit: MAX_NEAR_RANKS_FOLLOWED,
    });
    const purposes = new Map<SocketAddress, ConnectionPurpose>();
    for (const { address } of chosen) purposes.set(address, "near rank");
    for (const { address, rank } of processes) {
      if (rank === 0) purposes.set(address, "decider");
    }
    return purposes;
  }

  #dial(address: SocketAddress, purpose: ConnectionPurpose): void {
    const { identity, log, onLoad, onObservation } = this.#options;
    const events = EVENTS_BY_PURPOSE[purpose];
    let reader = new LoadReader();
    const client = new LinkClient({
      address,
      log,
      role: "entry",
      identity,
      listener: {
        onConnected: () => {
          this.#connected.add(address);
          reader = new LoadReader();
          log.write(events.connected, { address });
        },
        onMessage: (message) => {
          const load = message.kind === "group_load"
            ? reader.tryRead(message)
            : undefined;
          if (load !== undefined) onLoad(load);
          if (message.kind === "group_sight") onObservation(message);
        },
        onDisconnected: (fault) => {
          this.#connected.delete(address);
          log.write(events.lost, { address, fault });
        },
        onDialFailed: () => undefined,
      },
    });
    this.#clients.set(address, client);
  }
}

interface LinkEvents {
  readonly connected: EventName;
  readonly lost: EventName;
}

const EVENTS_BY_PURPOSE: Readonly<Record<ConnectionPurpose, LinkEvents>> = {
  "decider": { connected: "DECIDER_CONNECTED", lost: "DECIDER_LOST" },
  "near rank": { connected: "RANK_CONNECTED", lost: "RANK_LOST" },
};
