/**
 * Fetches the known keys of released key slots from the targets that released them.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { LedgerSlotMessage } from "../messages/types.ts";
import type { ReleasedSlot } from "./owner_table.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Milliseconds after which the previous owner counts as gone. */
const FETCH_TIMEOUT_MS = 5000;

/** Options of a {@link HistoryFetcher}. */
export interface HistoryFetcherOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly onHistory: (history: LedgerSlotMessage) => void;
}

/** Fetches the history of key slots from their previous owners. */
export class HistoryFetcher {
  readonly #options: HistoryFetcherOptions;

  /** Creates a fetcher without requests in progress. */
  constructor(options: HistoryFetcherOptions) {
    this.#options = options;
  }

  /** Requests the histories of the given slots, each once, from their previous owners. */
  fetch(released: readonly ReleasedSlot[]): void {
    const slotsByAddress = new Map<SocketAddress, number[]>();
    for (const { slot, address } of released) {
      slotsByAddress.set(address, [...slotsByAddress.get(address) ?? [], slot]);
    }
    for (const [address, slots] of slotsByAddress) {
      this.#fetchFrom(address, slots);
    }
  }

  #fetchFrom(address: SocketAddress, slots: readonly number[]): void {
    const pendingSlots = new Set(slots);
    const client = new LinkClient({
      address,
      log: this.#options.log,
      role: "successor",
      identity: this.#options.identity,
      listener: {
        onConnected: (link) => {
          for (const slot of pendingSlots) {
            link.send({ kind: "ledger_request", slot });
          }
        },
        onMessage: (message) => {
          if (message.kind !== "ledger_slot") return;
          this.#options.onHistory(message);
          pendingSlots.delete(message.slot);
          if (pendingSlots.size === 0) stop();
        },
        onDisconnected: () => undefined,
        onDialFailed: () => undefined,
      },
    });
    const timeout = setTimeout(() => stop(), FETCH_TIMEOUT_MS);
    function stop(): void {
      clearTimeout(timeout);
      client.stop();
    }
  }
}
