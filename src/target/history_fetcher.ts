/**
 * Asks targets that released key slots for what they know of the keys.
 *
 * @module
 */
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { LedgerSlotMessage } from "../messages/types.ts";
import type { ReleasedSlot } from "./owner_table.ts";

/** Milliseconds after which an old owner counts as gone. */
const FETCH_TIMEOUT_MS = 5000;

/** Options of a {@link HistoryFetcher}. */
export interface HistoryFetcherOptions {
  readonly identity: LinkIdentity;
  readonly onHistory: (history: LedgerSlotMessage) => void;
}

/** Asks old owners of key slots. */
export class HistoryFetcher {
  readonly #options: HistoryFetcherOptions;

  /** Asks nobody yet. */
  constructor(options: HistoryFetcherOptions) {
    this.#options = options;
  }

  /** Asks the old owners of these slots, each once. */
  fetch(released: readonly ReleasedSlot[]): void {
    const slotsByAddress = new Map<string, number[]>();
    for (const { slot, address } of released) {
      slotsByAddress.set(address, [...slotsByAddress.get(address) ?? [], slot]);
    }
    for (const [address, slots] of slotsByAddress) {
      this.#fetchFrom(address, slots);
    }
  }

  #fetchFrom(address: string, slots: readonly number[]): void {
    const pendingSlots = new Set(slots);
    const client = new LinkClient({
      address,
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
