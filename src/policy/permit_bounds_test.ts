/**
 * What permits can add up to for a target that warms up, when all that are given are used at
 * the worst moment of their lifetime.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createInstance } from "../testing/fixtures.ts";
import { getPermitMs } from "./permit_bounds.ts";
import { CombinedLimits, type SendLimits } from "./send_limits.ts";
import { SendPermits } from "./send_permits.ts";
import { TargetLimits } from "./target_limits.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

const TARGET = "i-1";
/** Well after the list of entries was heard. */
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
  return Array.from({ length: entries }, (_, one) => `entry-${one}`);
}

/** Entries that give permits for the target, the first one first. */
function listGivers(names: readonly string[]): readonly string[] {
  const limits = createLimits(1);
  const find = (left: readonly string[]) =>
    left.find((name) => {
      const permits = new SendPermits(name, limits);
      permits.setEntries(left, 0);
      return permits.isFirstOf(TARGET);
    }) as string;
  const first = find(names);
  return [first, find(names.filter((name) => name !== first))];
}

/** Times at which an entry gives permits that are asked for without end. */
function drain(permits: SendPermits): readonly number[] {
  const given: number[] = [];
  permits.give(TARGET, 0, SETTLED_MS - RUN_MS);
  for (let now = SETTLED_MS; now < SETTLED_MS + RUN_MS; now += 5) {
    const { granted } = permits.give(TARGET, 8, now);
    for (let permit = 0; permit < granted; permit++) given.push(now);
  }
  return given;
}

/** Most permits given in any span of so many milliseconds. */
function mostIn(spanMs: number, given: readonly number[]): number {
  const spans = given.map((from) =>
    given.filter((at) => at >= from && at < from + spanMs).length
  );
  return Math.max(...spans);
}

describe("permits for a target that warms up", () => {
  for (const perSecond of [0.5, 2, 8, 17, 50, 200]) {
    const bound = 1.5 * perSecond + 5;
    // Guards against bursts, lifetimes and a second giver that add up above the bound.
    it(`stay within its bound, ${perSecond} a second`, (test) => {
      const limits = createLimits(perSecond);
      const names = createNames(41);
      const given = listGivers(names).flatMap((name) => {
        const permits = new SendPermits(name, limits);
        permits.setEntries(names, 0);
        return drain(permits);
      });
      const most = mostIn(1000 + getPermitMs(limits.tryGet(TARGET)), given);
      test.diagnostic(`${most} of ${bound}`);
      assert.ok(most <= bound, `${most}`);
    });

    // Guards against an entry that joins as the first one and gives beside those before it.
    it(`stay within its bound where an entry joins, ${perSecond} a second`, (test) => {
      const limits = createLimits(perSecond);
      const names = createNames(41);
      const [joins] = listGivers(names) as [string];
      const before = names.filter((name) => name !== joins);
      const [first, second] = listGivers(before) as [string, string];
      const settled = [first, second].map((name) => {
        const permits = new SendPermits(name, limits);
        permits.setEntries(before, 0);
        return drain(permits);
      });
      const permits = new SendPermits(joins, limits);
      permits.setEntries(names, SETTLED_MS);
      const joined = drain(permits)
        .filter((at) => at < SETTLED_MS + 5000);
      const [ofFirst] = settled as [readonly number[]];
      const withJoined = mostIn(
        1000 + getPermitMs(limits.tryGet(TARGET)),
        [...ofFirst, ...joined],
      );
      // Three give only if one of them is cut off, too; what is given is used at once then.
      const three = mostIn(1000, [...settled.flat(), ...joined]);
      test.diagnostic(`${withJoined} and ${three} of ${bound}`);
      assert.ok(withJoined <= bound && three <= bound);
    });
  }

  // Guards against an entry that stands still while it ranks all entries for many targets.
  it("are looked for at one moment for as many targets as 1024 ranks allow", () => {
    const targets = Array.from({ length: 600 }, (_, one) => `i-${one}`);
    const limits = createLimits(17, targets);
    const permits = new SendPermits("entry-0", limits);
    permits.setEntries(["entry-0", "entry-1"], 0);
    const countSendable = (now: number) =>
      targets.filter((target) => permits.maySend(target, now)).length;
    const found = countSendable(SETTLED_MS);
    assert.ok(found <= 512 && countSendable(SETTLED_MS + 1) > found);
  });
});
