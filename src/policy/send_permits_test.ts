/**
 * Guards against exceeding or wasting the limit of an overloaded target while entries
 * have different lists of each other and some of them do not respond.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  PERMIT_TIMEOUT_MS,
  type PermitPlan,
  type PermitRequest,
  SendPermits,
} from "./send_permits.ts";
import { PERMIT_LIFETIME_MS } from "./permit_bounds.ts";
import { CombinedLimits, type SendLimits } from "./send_limits.ts";
import { TargetLimits } from "./target_limits.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

const TARGET = "i-1";
/** A time long after the list of entries was received. */
const SETTLED_MS = 60_000;

/**
 * Combines announced limits with those of warming-up targets, of which there are none.
 */
function combine(limits: TargetLimits): SendLimits {
  return new CombinedLimits(limits, new WarmUpLimits());
}

/** Entries that know each other and the limit of a target. */
class Fleet {
  readonly names: readonly string[];
  readonly permits = new Map<string, SendPermits>();

  constructor(entries: number, perSecond = 1) {
    this.names = Array.from(
      { length: entries },
      (_, index) => `entry-${index}`,
    );
    for (const name of this.names) {
      const limits = new TargetLimits();
      limits.record({ target: TARGET, perSecond, sentAt: 0, now: 0 });
      const permits = new SendPermits(name, combine(limits));
      permits.setEntries(this.names, 0);
      this.permits.set(name, permits);
    }
  }

  get first(): SendPermits {
    return this.#find((permits) => permits.isPrimaryIssuer(TARGET));
  }

  get other(): SendPermits {
    return this.#find((permits) => !permits.isPrimaryIssuer(TARGET));
  }

  #find(predicate: (permits: SendPermits) => boolean): SendPermits {
    const found = [...this.permits.values()].find(predicate);
    assert.ok(found !== undefined);
    return found;
  }
}

function requestOf(plan: PermitPlan): PermitRequest {
  assert.equal(plan.kind, "ask");
  return (plan as Extract<PermitPlan, { readonly kind: "ask" }>).request;
}

/** Counts the permits that an entry issues within `forMs`. */
function countIssued(permits: SendPermits, forMs: number): number {
  let issued = 0;
  for (let now = SETTLED_MS; now < SETTLED_MS + forMs; now += 10) {
    issued += permits.issue(TARGET, 1, now).granted;
  }
  return issued;
}

describe("permits for a target that has announced a limit", () => {
  it("are issued by one entry, which needs none itself", () => {
    const fleet = new Fleet(41);
    const primaries = fleet.names.filter((name) =>
      fleet.permits.get(name)?.isPrimaryIssuer(TARGET)
    );
    assert.equal(primaries.length, 1);
    assert.ok(fleet.first.maySend(TARGET, SETTLED_MS));
    assert.ok(!fleet.other.maySend(TARGET, SETTLED_MS));
    assert.ok(fleet.other.maySend("without a limit", SETTLED_MS));
  });

  it("are issued at the rate of the limit", () => {
    assert.equal(countIssued(new Fleet(41, 1).first, 10_000), 10);
    assert.equal(countIssued(new Fleet(41, 0.5).first, 10_000), 5);
  });

  it("are taken from the same bucket as the issuer's own requests", () => {
    const { first } = new Fleet(3, 1);
    first.recordSent(TARGET, SETTLED_MS);
    assert.equal(first.issue(TARGET, 1, SETTLED_MS).granted, 0);
    assert.equal(first.issue(TARGET, 1, SETTLED_MS + 1000).granted, 1);
    assert.ok(!first.maySend(TARGET, SETTLED_MS + 1000));
  });

  it("allow one request each, and expire", () => {
    const { other } = new Fleet(3);
    const { entry } = requestOf(other.planRequest([TARGET], 2, SETTLED_MS));
    const answer = { granted: 2, waitMs: 0 };
    const outcome = { target: TARGET, entry, askedAt: SETTLED_MS, answer };
    other.recordOutcome(outcome, SETTLED_MS + 5);
    other.recordSent(TARGET, SETTLED_MS + 6);
    assert.ok(other.maySend(TARGET, SETTLED_MS + 7));
    assert.ok(!other.maySend(TARGET, SETTLED_MS + PERMIT_LIFETIME_MS));
  });

  it("are requested once at a time, and not again before they can be available", () => {
    const { other } = new Fleet(3);
    const { entry } = requestOf(other.planRequest([TARGET], 1, SETTLED_MS));
    assert.equal(other.planRequest([TARGET], 1, SETTLED_MS).kind, "pending");
    const answer = { granted: 0, waitMs: 800 };
    const outcome = { target: TARGET, entry, askedAt: SETTLED_MS, answer };
    other.recordOutcome(outcome, SETTLED_MS);
    assert.deepEqual(other.planRequest([TARGET], 1, SETTLED_MS + 300), {
      kind: "none",
      freeInMs: 500,
    });
    requestOf(other.planRequest([TARGET], 1, SETTLED_MS + 800));
  });

  it("make denied entries wait until those before them have been served", () => {
    const { first } = new Fleet(41, 1);
    first.issue(TARGET, 1, SETTLED_MS);
    const waits = [1, 2, 3].map(() =>
      first.issue(TARGET, 1, SETTLED_MS).waitMs
    );
    assert.deepEqual(waits, [1000, 2000, 3000]);
  });

  it("are requested from the secondary issuer while the primary one does not respond", () => {
    const { other } = new Fleet(41);
    const { entry } = requestOf(other.planRequest([TARGET], 1, SETTLED_MS));
    const unanswered = { target: TARGET, entry, askedAt: SETTLED_MS };
    const later = SETTLED_MS + PERMIT_TIMEOUT_MS;
    other.recordOutcome({ ...unanswered, answer: undefined }, later);
    const second = requestOf(other.planRequest([TARGET], 1, later)).entry;
    assert.notEqual(second, entry);
    // The target can take what the secondary issuer issues in addition to the whole
    // limit.
    const fleet = new Fleet(41, 20);
    const secondaryPermits = fleet.permits.get(second) as SendPermits;
    const issued = countIssued(secondaryPermits, 4000);
    assert.ok(issued > 0 && issued <= 0.25 * 20 * 4 + 2, `${issued}`);
  });

  it("are issued at a share by a new primary issuer until the old one has the new list", () => {
    const fleet = new Fleet(3, 20);
    const name = fleet.names.find((entry) =>
      fleet.permits.get(entry)?.isPrimaryIssuer(TARGET)
    );
    const remaining = fleet.names.filter((entry) => entry !== name);
    const others = remaining.map((entry) =>
      fleet.permits.get(entry) as SendPermits
    );
    for (const permits of others) {
      permits.maySend(TARGET, SETTLED_MS);
      permits.setEntries(remaining, SETTLED_MS);
    }
    const next = others.find((permits) => permits.isPrimaryIssuer(TARGET));
    assert.ok(next !== undefined);
    const issued = countIssued(next, 4000);
    assert.ok(issued <= 0.25 * 20 * 4 + 2, `${issued}`);
  });

  it("are requested ahead if each entry's share is a request a second", () => {
    assert.equal(
      new Fleet(3, 2).other.tryPlanPrefetch(TARGET, SETTLED_MS),
      undefined,
    );
    const ahead = new Fleet(3, 60).other.tryPlanPrefetch(TARGET, SETTLED_MS);
    assert.equal(ahead?.count, 4);
  });

  it("are issued at a low rate for a limit of 0, so that its end is detected", () => {
    const issued = countIssued(new Fleet(3, 0).first, 20_000);
    assert.ok(issued >= 1 && issued <= 3, `${issued}`);
  });

  it("are not issued by an entry that does not know the limit", () => {
    const permits = new SendPermits("entry-0", combine(new TargetLimits()));
    permits.setEntries(["entry-0"], 0);
    assert.equal(permits.issue(TARGET, 1, SETTLED_MS).granted, 0);
  });

  it("are not available before the other entries are known", () => {
    const limits = new TargetLimits();
    limits.record({ target: TARGET, perSecond: 9, sentAt: 0, now: 0 });
    const permits = new SendPermits("entry-0", combine(limits));
    assert.ok(!permits.maySend(TARGET, SETTLED_MS));
    assert.equal(permits.planRequest([TARGET], 1, SETTLED_MS).kind, "none");
  });
});
