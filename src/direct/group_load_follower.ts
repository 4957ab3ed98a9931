/**
 * Hears from the processes of formed groups: from each decider how the ranks stand, and
 * from some ranks of the own failure domain whether the group runs.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { EventName } from "../events/catalogue.ts";
import { LoadReader } from "../group/formed/load_columns.ts";
import type {
  GroupLoad,
  GroupSightMessage,
} from "../messages/formed_group_types.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import { chooseSubset } from "../policy/target_subset.ts";
import type { ListedProcess } from "../messages/listed_process.ts";

/**
 * Ranks of each group in the own failure domain that an entry hears. The loss of one
 * of two machines near it leaves it a word that no cut between failure domains stops.
 */
const NEAR_RANKS_HEARD = 2;

/** Options of a {@link GroupLoadFollower}. */
export interface GroupLoadFollowerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly onLoad: (load: GroupLoad) => void;
  readonly onSight: (sight: GroupSightMessage) => void;
}

/** Why a process is dialled. */
type HeardAs = "decider" | "near rank";

/** Hears from the processes of formed groups. */
export class GroupLoadFollower {
  readonly #options: GroupLoadFollowerOptions;
  readonly #clients = new Map<string, LinkClient>();
  /** Addresses whose connection works. */
  readonly #connected = new Set<string>();

  /** Dials nobody yet. */
  constructor(options: GroupLoadFollowerOptions) {
    this.#options = options;
  }

  /** Dials the process beside rank 0 of each group, and some ranks near this entry. */
  setProcesses(processes: readonly ListedProcess[]): void {
    const wanted = this.#chooseHeard(processes);
    for (const [address, heardAs] of wanted) {
      if (!this.#clients.has(address)) this.#dial(address, heardAs);
    }
    for (const [address, client] of this.#clients) {
      // An entry may lapse while the store is away and its process lives on.
      if (wanted.has(address) || this.#connected.has(address)) continue;
      client.stop();
      this.#clients.delete(address);
    }
  }

  /** Hears no more. */
  stop(): void {
    for (const client of this.#clients.values()) client.stop();
  }

  #chooseHeard(
    processes: readonly ListedProcess[],
  ): ReadonlyMap<string, HeardAs> {
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
      limit: NEAR_RANKS_HEARD,
    });
    const heard = new Map<string, HeardAs>();
    for (const { address } of chosen) heard.set(address, "near rank");
    for (const { address, rank } of processes) {
      if (rank === 0) heard.set(address, "decider");
    }
    return heard;
  }

  #dial(address: string, heardAs: HeardAs): void {
    const { identity, log, onLoad, onSight } = this.#options;
    const events = EVENTS_BY_ROLE[heardAs];
    let reader = new LoadReader();
    const client = new LinkClient({
      address,
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
          if (message.kind === "group_sight") onSight(message);
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

const EVENTS_BY_ROLE: Readonly<Record<HeardAs, LinkEvents>> = {
  "decider": { connected: "DECIDER_CONNECTED", lost: "DECIDER_LOST" },
  "near rank": { connected: "RANK_CONNECTED", lost: "RANK_LOST" },
};
