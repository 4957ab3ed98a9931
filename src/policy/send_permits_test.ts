/**
 * The pattern that these tests tell of: entries share what a target in need takes, while their
 * lists of each other differ and some of them do not answer.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  ASK_LIMIT_MS,
  type PermitPlan,
  type PermitQuestion,
  SendPermits,
} from "./send_permits.ts";
import { PERMIT_MS } from "./permit_bounds.ts";
import { CombinedLimits, type SendLimits } from "./send_limits.ts";
import { TargetLimits } from "./target_limits.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

const TARGET = "i-1";
/** Well after the list of entries was heard. */
const SETTLED = 60_000;

/** Limits that targets name, while none is cold. */
function combine(limits: TargetLimits): SendLimits {
  return new CombinedLimits(limits, new WarmUpLimits());
}

/** Entries that know each other, and the limit of a target. */
class Fleet {
  readonly names: readonly string[];
  readonly permits = new Map<string, SendPermits>();

  constructor(entries: number, perSecond = 1) {
    this.names = Array.from({ length: entries }, (_, one) => `entry-${one}`);
    for (const name of this.names) {
      const limits = new TargetLimits();
      limits.note({ target: TARGET, perSecond, sentAt: 0, now: 0 });
      const permits = new SendPermits(name, combine(limits));
      permits.setEntries(this.names, 0);
      this.permits.set(name, permits);
    }
  }

  get first(): SendPermits {
    return this.#find((permits) => permits.isFirstOf(TARGET));
  }

  get other(): SendPermits {
    return this.#find((permits) => !permits.isFirstOf(TARGET));
  }

  #find(fits: (permits: SendPermits) => boolean): SendPermits {
    const found = [...this.permits.values()].find(fits);
    assert.ok(found !== undefined);
    return found;
  }
}

function questionOf(plan: PermitPlan): PermitQuestion {
  assert.equal(plan.kind, "ask");
  return (plan as Extract<PermitPlan, { readonly kind: "ask" }>).question;
}

/** How many an entry gives, or sends, within some milliseconds. */
function countGiven(permits: SendPermits, forMs: number): number {
  let given = 0;
  for (let now = SETTLED; now < SETTLED + forMs; now += 10) {
    given += permits.give(TARGET, 1, now).granted;
  }
  return given;
}

describe("permits for a target that has named a limit", () => {
  it("come from one entry, which needs none itself", () => {
    const fleet = new Fleet(41);
    const firsts = fleet.names.filter((name) =>
      fleet.permits.get(name)?.isFirstOf(TARGET)
    );
    assert.equal(firsts.length, 1);
    assert.ok(fleet.first.maySend(TARGET, SETTLED));
    assert.ok(!fleet.other.maySend(TARGET, SETTLED));
    assert.ok(fleet.other.maySend("without a limit", SETTLED));
  });

  it("are as many as the target takes", () => {
    assert.equal(countGiven(new Fleet(41, 1).first, 10_000), 10);
    assert.equal(countGiven(new Fleet(41, 0.5).first, 10_000), 5);
  });

  it("are taken out of the same bucket by the entry that gives them", () => {
    const { first } = new Fleet(3, 1);
    first.noteSent(TARGET, SETTLED);
    assert.equal(first.give(TARGET, 1, SETTLED).granted, 0);
    assert.equal(first.give(TARGET, 1, SETTLED + 1000).granted, 1);
    assert.ok(!first.maySend(TARGET, SETTLED + 1000));
  });

  it("let one request through each, and end by themselves", () => {
    const { other } = new Fleet(3);
    const { entry } = questionOf(other.plan([TARGET], 2, SETTLED));
    const answer = { granted: 2, waitMs: 0 };
    const outcome = { target: TARGET, entry, askedAt: SETTLED, answer };
    other.noteOutcome(outcome, SETTLED + 5);
    other.noteSent(TARGET, SETTLED + 6);
    assert.ok(other.maySend(TARGET, SETTLED + 7));
    assert.ok(!other.maySend(TARGET, SETTLED + PERMIT_MS));
  });

  it("are asked for once at a time, and not again before they can be had", () => {
    const { other } = new Fleet(3);
    const { entry } = questionOf(other.plan([TARGET], 1, SETTLED));
    assert.equal(other.plan([TARGET], 1, SETTLED).kind, "pending");
    const answer = { granted: 0, waitMs: 800 };
    const outcome = { target: TARGET, entry, askedAt: SETTLED, answer };
    other.noteOutcome(outcome, SETTLED);
    assert.deepEqual(other.plan([TARGET], 1, SETTLED + 300), {
      kind: "none",
      freeInMs: 500,
    });
    questionOf(other.plan([TARGET], 1, SETTLED + 800));
  });

  it("say to those who are sent away when those before them are through", () => {
    const { first } = new Fleet(41, 1);
    first.give(TARGET, 1, SETTLED);
    const waits = [1, 2, 3].map(() => first.give(TARGET, 1, SETTLED).waitMs);
    assert.deepEqual(waits, [1000, 2000, 3000]);
  });

  it("are asked of a second entry while the first does not answer", () => {
    const { other } = new Fleet(41);
    const { entry } = questionOf(other.plan([TARGET], 1, SETTLED));
    const unanswered = { target: TARGET, entry, askedAt: SETTLED };
    const later = SETTLED + ASK_LIMIT_MS;
    other.noteOutcome({ ...unanswered, answer: undefined }, later);
    const second = questionOf(other.plan([TARGET], 1, later)).entry;
    assert.notEqual(second, entry);
    // The target can bear what the second one gives beside the whole of the limit.
    const fleet = new Fleet(41, 20);
    const deputy = fleet.permits.get(second) as SendPermits;
    const given = countGiven(deputy, 4000);
    assert.ok(given > 0 && given <= 0.25 * 20 * 4 + 2, `${given}`);
  });

  it("come from a new first entry at a part, until the one before has heard of it", () => {
    const fleet = new Fleet(3, 20);
    const name = fleet.names.find((one) =>
      fleet.permits.get(one)?.isFirstOf(TARGET)
    );
    const left = fleet.names.filter((one) => one !== name);
    const others = left.map((one) => fleet.permits.get(one) as SendPermits);
    for (const permits of others) {
      permits.maySend(TARGET, SETTLED);
      permits.setEntries(left, SETTLED);
    }
    const next = others.find((permits) => permits.isFirstOf(TARGET));
    assert.ok(next !== undefined);
    const soon = countGiven(next, 4000);
    assert.ok(soon <= 0.25 * 20 * 4 + 2, `${soon}`);
  });

  it("are asked for ahead where each entry's share is a request a second", () => {
    assert.equal(
      new Fleet(3, 2).other.tryPlanAhead(TARGET, SETTLED),
      undefined,
    );
    const ahead = new Fleet(3, 60).other.tryPlanAhead(TARGET, SETTLED);
    assert.equal(ahead?.count, 4);
  });

  it("let some through where the target takes none, so that its end is heard", () => {
    const given = countGiven(new Fleet(3, 0).first, 20_000);
    assert.ok(given >= 1 && given <= 3, `${given}`);
  });

  it("are not given by an entry that has not heard of the limit", () => {
    const permits = new SendPermits("entry-0", combine(new TargetLimits()));
    permits.setEntries(["entry-0"], 0);
    assert.equal(permits.give(TARGET, 1, SETTLED).granted, 0);
  });

  it("are not to be had before the other entries are known", () => {
    const limits = new TargetLimits();
    limits.note({ target: TARGET, perSecond: 9, sentAt: 0, now: 0 });
    const permits = new SendPermits("entry-0", combine(limits));
    assert.ok(!permits.maySend(TARGET, SETTLED));
    assert.equal(permits.plan([TARGET], 1, SETTLED).kind, "none");
  });
});
