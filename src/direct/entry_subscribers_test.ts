import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { GroupLoad } from "../messages/formed_group_types.ts";
import { encodeFrame } from "../messages/codec.ts";
import type { Message } from "../messages/types.ts";
import { type EntryLink, EntrySubscribers } from "./entry_subscribers.ts";

/** 4.2 Mbit/s, the link of VMs that run engines of the largest groups. */
const LINK_BYTES_PER_SECOND = 525_000;
const TICK_MS = 200;
const RUN_MS = 10_000;

class CountedLink implements EntryLink {
  bytes = 0;
  messages = 0;

  send(message: Message): void {
    this.bytes += encodeFrame([message]).length;
    this.messages++;
  }
}

function createLoad(ranks: number): GroupLoad {
  return {
    pool: "drafts",
    group: "group-1",
    isOpen: true,
    ageMs: 3,
    loads: Array.from({ length: ranks }, (_, rank) => ({
      engineAddress: `10.20.30.${rank}:8340`,
      running: 4,
      queued: 1,
      pace: 1,
    })),
  };
}

function sendLoads(entries: number, ranks: number): readonly CountedLink[] {
  const subscribers = new EntrySubscribers(LINK_BYTES_PER_SECOND);
  const links = Array.from({ length: entries }, () => new CountedLink());
  for (const link of links) subscribers.add(link);
  for (let now = 0; now < RUN_MS; now += TICK_MS) {
    subscribers.sendLoad(createLoad(ranks), now);
  }
  return links;
}

describe("entries that subscribe to a group", () => {
  /**
   * Guards against loads that take the link away from orders: unlimited, 100 entries
   * would need 3.6 times the capacity of this link.
   */
  it("leave most of a small link free, even when there are many", () => {
    const links = sendLoads(100, 64);
    const bytes = links.reduce((sum, link) => sum + link.bytes, 0);
    const use = bytes / (LINK_BYTES_PER_SECOND * RUN_MS / 1000);
    assert.ok(use <= 0.2, `use ${use}`);
    assert.ok(
      (links[0]?.messages ?? 0) >= RUN_MS / 1000,
      "at least one load a second",
    );
  });

  it("receive every load while they are few", () => {
    const [link] = sendLoads(9, 12);
    assert.equal(link?.messages, RUN_MS / TICK_MS);
  });

  it("receive nothing after they are removed", () => {
    const subscribers = new EntrySubscribers(LINK_BYTES_PER_SECOND);
    const link = new CountedLink();
    subscribers.add(link);
    subscribers.remove(link);
    subscribers.sendLoad(createLoad(3), 0);
    assert.equal(link.messages, 0);
  });
});
