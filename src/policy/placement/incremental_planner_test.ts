import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { ExpertMap } from "../../messages/group_types.ts";
import { type PlanLimits, tryPlanIncrement } from "./incremental_planner.ts";

const SEED = 20261202;
const RANKS = 4;
const EXPERTS = 12;
const LIMITS: PlanLimits = {
  slotsPerRank: 5,
  maxNewPerRank: 1,
  maxNewPerLayer: 4,
  loadMs: 400,
};

/** Creates a map with the experts distributed round-robin: rank 0 holds 0, 4 and 8. */
function createMap(layers: number): ExpertMap {
  const experts = Array.from(
    { length: RANKS },
    (_, rank) => [rank, rank + RANKS, rank + 2 * RANKS],
  );
  return { layers: Array.from({ length: layers }, () => ({ experts })) };
}

function createTokens(changes: Readonly<Record<number, number>> = {}) {
  return Array.from({ length: EXPERTS }, (_, expert) => changes[expert] ?? 10);
}

const EVEN_PACES = new Array<number>(RANKS).fill(1);

function getNewExperts(before: ExpertMap, after: ExpertMap, rank: number) {
  return after.layers.flatMap((layer, index) => {
    const held = before.layers[index]?.experts[rank] ?? [];
    return (layer.experts[rank] ?? []).filter((expert) =>
      !held.includes(expert)
    );
  });
}

/** Creates a group of any size with its experts distributed round-robin. */
function createShape(ranks: number, layers: number, experts: number) {
  const held = Array.from(
    { length: ranks },
    (_, rank) =>
      Array.from(
        { length: Math.ceil((experts - rank) / ranks) },
        (_, index) => rank + index * ranks,
      ),
  );
  const current: ExpertMap = {
    layers: Array.from({ length: layers }, () => ({ experts: held })),
  };
  return { current, paces: new Array<number>(ranks).fill(1) };
}

/** Creates tokens that fall with an expert's position in a random order. */
function createSkewedTokens(layers: number, experts: number) {
  return Array.from({ length: layers }, (_, layer) => {
    const order = fc.sample(
      fc.shuffledSubarray([...new Array(experts).keys()], {
        minLength: experts,
      }),
      { seed: SEED + layer, numRuns: 1 },
    )[0] as readonly number[];
    const tokens = new Array<number>(experts).fill(0);
    for (const [place, expert] of order.entries()) {
      tokens[expert] = 1000 / (place + 1);
    }
    return tokens;
  });
}

describe("incremental plan", () => {
  it("is undefined for an even load", () => {
    const plan = tryPlanIncrement({
      current: createMap(2),
      tokens: [createTokens(), createTokens()],
      paces: EVEN_PACES,
    }, LIMITS);
    assert.equal(plan, undefined);
  });

  it("adds replicas of a hot expert, at most one copy for each rank", () => {
    const current = createMap(1);
    const plan = tryPlanIncrement({
      current,
      tokens: [createTokens({ 0: 200 })],
      paces: EVEN_PACES,
    }, LIMITS);
    assert.ok(plan !== undefined);
    assert.ok(plan.costAfter < 0.6 * plan.costBefore);
    for (let rank = 0; rank < RANKS; rank++) {
      assert.ok(getNewExperts(current, plan.map, rank).length <= 1);
    }
  });

  it("moves experts away from a slow rank", () => {
    let current = createMap(1);
    const paces = [12, 1, 1, 1];
    for (let round = 0; round < 3; round++) {
      const plan = tryPlanIncrement(
        { current, tokens: [createTokens()], paces },
        LIMITS,
      );
      current = plan?.map ?? current;
    }
    assert.deepEqual(current.layers[0]?.experts[0], []);
  });

  it("lowers the cost of a group with many ranks and layers", () => {
    const { current, paces } = createShape(24, 16, 96);
    const tokens = createSkewedTokens(16, 96);
    const plan = tryPlanIncrement({ current, tokens, paces }, {
      slotsPerRank: 5,
      maxNewPerRank: 5,
      maxNewPerLayer: 2,
      loadMs: 76,
    });
    assert.ok(plan !== undefined);
    assert.ok(plan.costAfter < 0.7 * plan.costBefore);
  });

  it("requires a higher benefit for a copy that takes longer", () => {
    const tokens = createSkewedTokens(3, 96);
    const { current, paces } = createShape(12, 3, 96);
    const copiesAt = (loadMs: number) =>
      tryPlanIncrement({ current, tokens, paces }, {
        slotsPerRank: 11,
        maxNewPerRank: 4,
        maxNewPerLayer: 4,
        loadMs,
      })?.copies ?? 0;
    assert.ok(copiesAt(50) > copiesAt(400));
    assert.equal(copiesAt(10_000), 0);
  });

  it("requires a higher benefit for a copy while passes are short, for groups of any size", () => {
    for (
      const [ranks, layers, experts] of [[16, 4, 64], [24, 16, 96]] as const
    ) {
      const tokens = createSkewedTokens(layers, experts);
      const { current, paces } = createShape(ranks, layers, experts);
      const planAt = (passFraction: number | undefined) =>
        tryPlanIncrement({ current, tokens, paces }, {
          slotsPerRank: Math.ceil(experts / ranks) + 1,
          maxNewPerRank: 4,
          maxNewPerLayer: 2,
          loadMs: 39,
          passFraction,
        });
      const [easy, pressed, unknown] = [0.4, 0.9, undefined].map(planAt);
      assert.ok((easy?.copies ?? 0) < (pressed?.copies ?? 0));
      assert.equal(pressed?.copies, unknown?.copies);
      // The load of the most requested experts is spread in both cases.
      assert.ok((easy?.costAfter ?? 0) < 0.85 * (easy?.costBefore ?? 0));
    }
  });

  it("keeps every expert on some rank and respects the limits", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 500 }), {
          minLength: EXPERTS,
          maxLength: EXPERTS,
        }),
        fc.array(fc.constantFrom(1, 1, 1, 2, 8), {
          minLength: RANKS,
          maxLength: RANKS,
        }),
        (tokens, paces) => {
          let current = createMap(2);
          for (let round = 0; round < 4; round++) {
            const input = { current, tokens: [tokens, createTokens()], paces };
            const plan = tryPlanIncrement(input, LIMITS);
            if (plan === undefined) return;
            for (const layer of plan.map.layers) {
              assert.equal(new Set(layer.experts.flat()).size, EXPERTS);
              for (const experts of layer.experts) {
                assert.ok(experts.length <= LIMITS.slotsPerRank);
                assert.equal(new Set(experts).size, experts.length);
              }
            }
            for (let rank = 0; rank < RANKS; rank++) {
              const added = getNewExperts(current, plan.map, rank);
              assert.ok(added.length <= LIMITS.maxNewPerRank);
            }
            current = plan.map;
          }
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });
});
