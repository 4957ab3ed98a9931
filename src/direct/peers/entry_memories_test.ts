import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MESSAGE_SCHEMA } from "../../messages/schema.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import {
  type LeavingTarget,
  LeavingTargets,
} from "../../policy/leaving_targets.ts";
import { type TargetLimit, TargetLimits } from "../../policy/target_limits.ts";
import { EntryMemories, getContents, NO_MEMORIES } from "./entry_memories.ts";

const CRASHED: CrashedRequest = {
  request: "digest",
  crashes: [{ target: "i-1", aliveAt: 500, endedAt: 700 }],
  servedAt: undefined,
};

/** An entry with its memories, and what it was told. */
class EntryFixture {
  readonly limits = new TargetLimits();
  readonly crashes: CrashedRequest[] = [];
  readonly heardLimits: TargetLimit[] = [];
  readonly leaving = new LeavingTargets();
  readonly heardLeaving: LeavingTarget[] = [];
  readonly heardCrashes: CrashedRequest[] = [];
  readonly memories: EntryMemories;

  constructor() {
    const { crashes } = this;
    this.memories = new EntryMemories({
      crashes: {
        get content() {
          return crashes.map(({ request }) => request).join();
        },
        list: () => crashes,
      },
      limits: this.limits,
      leaving: this.leaving,
      onCrashes: (requests) => this.heardCrashes.push(...requests),
      onLimits: (limits) => this.heardLimits.push(...limits),
      onLeaving: (targets) => this.heardLeaving.push(...targets),
    });
  }

  name(perSecond: number): void {
    this.limits.note({ target: "i-2", perSecond, sentAt: 0, now: 600 });
  }
}

describe("memories that entries tell each other", () => {
  it("come over with their ages, whatever the other one's clock says", () => {
    const from = new EntryFixture();
    from.crashes.push(CRASHED);
    from.name(2);
    from.leaving.note("i-3", 900);
    const news = from.memories.createTeller().tell(NO_MEMORIES, 1000);
    const to = new EntryFixture();
    to.memories.take(news, 91_000);
    const [crashed] = to.heardCrashes;
    assert.deepEqual(crashed?.crashes, [
      { target: "i-1", aliveAt: 90_500, endedAt: 90_700 },
    ]);
    assert.deepEqual(to.heardLimits, [
      { target: "i-2", perSecond: 2, version: 1, heardAt: 90_600 },
    ]);
    assert.deepEqual(to.heardLeaving, [{ target: "i-3", knownAt: 90_900 }]);
  });

  it("are left out where neither remembers any", () => {
    const { memories } = new EntryFixture();
    assert.deepEqual(memories.createTeller().tell(NO_MEMORIES, 0), {
      crashes: undefined,
      limits: undefined,
      leaving: undefined,
    });
  });

  it("are told whole once for each difference, one matter without the other", () => {
    const entry = new EntryFixture();
    entry.name(2);
    const teller = entry.memories.createTeller();
    assert.equal(teller.tell(NO_MEMORIES, 0).limits?.items?.length, 1);
    assert.equal(teller.tell(NO_MEMORIES, 0).limits?.items, undefined);
    const own = entry.memories.contents;
    assert.equal(teller.tell(own, 0).limits?.items, undefined);
    entry.name(1);
    const news = teller.tell(own, 0);
    assert.equal(news.limits?.items?.[0]?.perSecond, 1);
    assert.equal(news.crashes, undefined);
    assert.deepEqual(getContents(news), entry.memories.contents);
  });

  it("are none of an entry of a version that tells none", () => {
    const message = MESSAGE_SCHEMA.parse({
      kind: "store_news",
      isReading: true,
    });
    assert.ok(message.kind === "store_news");
    assert.deepEqual(getContents(message.memories), NO_MEMORIES);
  });
});
