import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MESSAGE_SCHEMA } from "../../messages/schema.ts";
import type { CrashedRequest } from "../../policy/crash_history.ts";
import {
  type LeavingTarget,
  LeavingTargets,
} from "../../policy/leaving_targets.ts";
import { type TargetLimit, TargetLimits } from "../../policy/target_limits.ts";
import {
  EMPTY_DIGESTS,
  getDigests,
  ReplicatedState,
} from "./replicated_state.ts";

const CRASHED: CrashedRequest = {
  request: "digest",
  crashes: [{ target: "i-1", aliveAt: 500, endedAt: 700 }],
  servedAt: undefined,
};

/** An entry with its replicated state, and the state that it received. */
class EntryFixture {
  readonly limits = new TargetLimits();
  readonly crashes: CrashedRequest[] = [];
  readonly receivedLimits: TargetLimit[] = [];
  readonly leaving = new LeavingTargets();
  readonly receivedLeaving: LeavingTarget[] = [];
  readonly receivedCrashes: CrashedRequest[] = [];
  readonly replicatedState: ReplicatedState;

  constructor() {
    const { crashes } = this;
    this.replicatedState = new ReplicatedState({
      crashes: {
        get content() {
          return crashes.map(({ request }) => request).join();
        },
        list: () => crashes,
      },
      limits: this.limits,
      leaving: this.leaving,
      onCrashes: (requests) => this.receivedCrashes.push(...requests),
      onLimits: (limits) => this.receivedLimits.push(...limits),
      onLeaving: (targets) => this.receivedLeaving.push(...targets),
    });
  }

  setLimit(perSecond: number): void {
    this.limits.record({ target: "i-2", perSecond, sentAt: 0, now: 600 });
  }
}

describe("state that entries replicate to each other", () => {
  it("arrives with the right ages when the clocks of the entries differ", () => {
    const from = new EntryFixture();
    from.crashes.push(CRASHED);
    from.setLimit(2);
    from.leaving.record("i-3", 900);
    const update = from.replicatedState.createReplicator().createUpdate(
      EMPTY_DIGESTS,
      1000,
    );
    const to = new EntryFixture();
    to.replicatedState.apply(update, 91_000);
    const [crashed] = to.receivedCrashes;
    assert.deepEqual(crashed?.crashes, [
      { target: "i-1", aliveAt: 90_500, endedAt: 90_700 },
    ]);
    assert.deepEqual(to.receivedLimits, [
      { target: "i-2", perSecond: 2, version: 1, heardAt: 90_600 },
    ]);
    assert.deepEqual(to.receivedLeaving, [{ target: "i-3", knownAt: 90_900 }]);
  });

  it("is left out where both entries have none", () => {
    const { replicatedState } = new EntryFixture();
    assert.deepEqual(
      replicatedState.createReplicator().createUpdate(EMPTY_DIGESTS, 0),
      {
        crashes: undefined,
        limits: undefined,
        leaving: undefined,
      },
    );
  });

  it("is sent in full once for each difference, each section by itself", () => {
    const entry = new EntryFixture();
    entry.setLimit(2);
    const replicator = entry.replicatedState.createReplicator();
    assert.equal(
      replicator.createUpdate(EMPTY_DIGESTS, 0).limits?.items?.length,
      1,
    );
    assert.equal(
      replicator.createUpdate(EMPTY_DIGESTS, 0).limits?.items,
      undefined,
    );
    const own = entry.replicatedState.digests;
    assert.equal(replicator.createUpdate(own, 0).limits?.items, undefined);
    entry.setLimit(1);
    const update = replicator.createUpdate(own, 0);
    assert.equal(update.limits?.items?.[0]?.perSecond, 1);
    assert.equal(update.crashes, undefined);
    assert.deepEqual(getDigests(update), entry.replicatedState.digests);
  });

  it("is empty for an entry of a version that does not send any", () => {
    const message = MESSAGE_SCHEMA.parse({
      kind: "store_news",
      isReading: true,
    });
    assert.ok(message.kind === "store_news");
    assert.deepEqual(getDigests(message.memories), EMPTY_DIGESTS);
  });
});
