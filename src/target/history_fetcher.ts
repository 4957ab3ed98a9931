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
const LIMIT_MS = 5000;

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
    const byAddress = new Map<string, number[]>();
    for (const { slot, address } of released) {
      byAddress.set(address, [...byAddress.get(address) ?? [], slot]);
    }
    for (const [address, slots] of byAddress) this.#ask(address, slots);
  }

  #ask(address: string, slots: readonly number[]): void {
    const open = new Set(slots);
    const client = new LinkClient({
      address,
      role: "successor",
      identity: this.#options.identity,
      listener: {
        onConnected: (link) => {
          for (const slot of open) link.send({ kind: "ledger_request", slot });
        },
        onMessage: (message) => {
          if (message.kind !== "ledger_slot") return;
          this.#options.onHistory(message);
          open.delete(message.slot);
          if (open.size === 0) end();
        },
        onDisconnected: () => undefined,
        onDialFailed: () => undefined,
      },
    });
    const limit = setTimeout(() => end(), LIMIT_MS);
    function end(): void {
      clearTimeout(limit);
      client.stop();
    }
  }
}
