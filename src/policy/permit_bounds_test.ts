/**
 * Guards against exceeding the bound on requests to a target that warms up when all
 * issued permits are used at the worst moment of their lifetime.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createInstance } from "../testing/fixtures.ts";
import { getPermitLifetimeMs } from "./permit_bounds.ts";
import { CombinedLimits, type SendLimits } from "./send_limits.ts";
import { SendPermits } from "./send_permits.ts";
import { TargetLimits } from "./target_limits.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

const TARGET = "i-1";
/** A time long after the list of entries was received. */
const SETTLED_MS = 60_000;
const RUN_MS = 8000;

function createLimits(
  perSecond: number,
  targets: readonly string[] = [TARGET],
): SendLimits {
  const warmUp = new WarmUpLimits();
  const startMs = 2 * SETTLED_MS;
  warmUp.setPools(
    new Map([["confirm", { kind: "limited", perSecond, startMs }]]),
    0,
  );
  const cold = targets.map((target) =>
    createInstance(target, { isCold: true })
  );
  warmUp.setListed(cold, 0);
  return new CombinedLimits(new TargetLimits(), warmUp);
}

function createNames(entries: number): readonly string[] {
  return Array.from({ length: entries }, (_, index) => `entry-${index}`);
}

/** Returns the entries that issue permits for the target, the primary issuer first. */
function listIssuers(names: readonly string[]): readonly string[] {
  const limits = createLimits(1);
  const find = (remaining: readonly string[]) =>
    remaining.find((name) => {
      const permits = new SendPermits(name, limits);
      permits.setEntries(remaining, 0);
      return permits.isPrimaryIssuer(TARGET);
    }) as string;
  const first = find(names);
  return [first, find(names.filter((name) => name !== first))];
}

/** Returns the times at which an entry issues permits under continuous demand. */
function issueContinuously(permits: SendPermits): readonly number[] {
  const issued: number[] = [];
  permits.issue(TARGET, 0, SETTLED_MS - RUN_MS);
  for (let now = SETTLED_MS; now < SETTLED_MS + RUN_MS; now += 5) {
    const { granted } = permits.issue(TARGET, 8, now);
    for (let permit = 0; permit < granted; permit++) issued.push(now);
  }
  return issued;
}

/** Returns the maximum number of permits issued in any span of `spanMs`. */
function getMaxIn(spanMs: number, issued: readonly number[]): number {
  const spans = issued.map((from) =>
    issued.filter((at) => at >= from && at < from + spanMs).length
  );
  return Math.max(...spans);
}

describe("permits for a target that warms up", () => {
  for (const perSecond of [0.5, 2, 8, 17, 50, 200]) {
    const bound = 1.5 * perSecond + 5;
    // Guards against bursts, lifetimes and a secondary issuer that together exceed the
    // bound.
    it(`stay within the bound at ${perSecond} a second`, (test) => {
      const limits = createLimits(perSecond);
      const names = createNames(41);
      const issued = listIssuers(names).flatMap((name) => {
        const permits = new SendPermits(name, limits);
        permits.setEntries(names, 0);
        return issueContinuously(permits);
      });
      const maxIssued = getMaxIn(
        1000 + getPermitLifetimeMs(limits.tryGet(TARGET)),
        issued,
      );
      test.diagnostic(`${maxIssued} of ${bound}`);
      assert.ok(maxIssued <= bound, `${maxIssued}`);
    });

    // Guards against an entry that joins as the primary issuer and issues permits beside
    // the previous issuers.
    it(`stay within the bound when an entry joins, at ${perSecond} a second`, (test) => {
      const limits = createLimits(perSecond);
      const names = createNames(41);
      const [joining] = listIssuers(names) as [string];
      const before = names.filter((name) => name !== joining);
      const [first, second] = listIssuers(before) as [string, string];
      const settled = [first, second].map((name) => {
        const permits = new SendPermits(name, limits);
        permits.setEntries(before, 0);
        return issueContinuously(permits);
      });
      const permits = new SendPermits(joining, limits);
      permits.setEntries(names, SETTLED_MS);
      const joined = issueContinuously(permits)
        .filter((at) => at < SETTLED_MS + 5000);
      const [issuedByFirst] = settled as [readonly number[]];
      const maxWithJoined = getMaxIn(
        1000 + getPermitLifetimeMs(limits.tryGet(TARGET)),
        [...issuedByFirst, ...joined],
      );
      // Three entries issue permits only if one of them is also cut off, and then permits
      // are used immediately.
      const maxOfThree = getMaxIn(1000, [...settled.flat(), ...joined]);
      test.diagnostic(`${maxWithJoined} and ${maxOfThree} of ${bound}`);
      assert.ok(maxWithJoined <= bound && maxOfThree <= bound);
    });
  }

  // Guards against an entry that is blocked while it ranks all entries for many targets.
  it("are looked up at once only for as many targets as 1024 ranked entries allow", () => {
    const targets = Array.from({ length: 600 }, (_, index) => `i-${index}`);
    const limits = createLimits(17, targets);
    const permits = new SendPermits("entry-0", limits);
    permits.setEntries(["entry-0", "entry-1"], 0);
    const countSendable = (now: number) =>
      targets.filter((target) => permits.maySend(target, now)).length;
    const found = countSendable(SETTLED_MS);
    assert.ok(found <= 512 && countSendable(SETTLED_MS + 1) > found);
  });
});
