/**
 * Hears from the deciders of formed groups how their ranks stand.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { GroupLoadMessage } from "../group/formed/types.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { ListedProcess } from "./process_registry.ts";

/** Options of a {@link GroupLoadFollower}. */
export interface GroupLoadFollowerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly onLoad: (load: GroupLoadMessage) => void;
}

/** Hears from the deciders of formed groups. */
export class GroupLoadFollower {
  readonly #options: GroupLoadFollowerOptions;
  readonly #clients = new Map<string, LinkClient>();
  /** Addresses whose connection works. */
  readonly #connected = new Set<string>();

  /** Dials nobody yet. */
  constructor(options: GroupLoadFollowerOptions) {
    this.#options = options;
  }

  /** Dials the process beside rank 0 of each group. */
  setProcesses(processes: readonly ListedProcess[]): void {
    const deciders = processes.filter((one) => one.rank === 0);
    const addresses = new Set(deciders.map(({ address }) => address));
    for (const address of addresses) {
      if (!this.#clients.has(address)) this.#dial(address);
    }
    for (const [address, client] of this.#clients) {
      // An entry may lapse while the store is away and its process lives on.
      if (addresses.has(address) || this.#connected.has(address)) continue;
      client.stop();
      this.#clients.delete(address);
    }
  }

  /** Hears no more. */
  stop(): void {
    for (const client of this.#clients.values()) client.stop();
  }

  #dial(address: string): void {
    const { identity, log, onLoad } = this.#options;
    const client = new LinkClient({
      address,
      role: "entry",
      identity,
      listener: {
        onConnected: () => {
          this.#connected.add(address);
          log.write("DECIDER_CONNECTED", { address });
        },
        onMessage: (message) => {
          if (message.kind === "group_load") onLoad(message);
        },
        onDisconnected: (fault) => {
          this.#connected.delete(address);
          log.write("DECIDER_LOST", { address, fault });
        },
        onDialFailed: () => undefined,
      },
    });
    this.#clients.set(address, client);
  }
}
