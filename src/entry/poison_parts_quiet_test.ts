/**
 * Guards against a part of prompts that goes on crashing servers while there is little
 * traffic: it was not refused before an entry had seen many requests, nor at all if most
 * requests had it. Each server runs at most a few requests, and a few sound ones are
 * answered between the crashes.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoisonFleet } from "../testing/poison_fleet.ts";
import type {
  PoisonFleetOptions,
  PoisonFleetResult,
  PoisonPart,
} from "../testing/poison_fleet_types.ts";

/** Milliseconds from the first request with the part, and how many of them, at least. */
const RUN_AFTER_MS = 55_000;
const MIN_PART_REQUESTS = 14;
const SEEDS = [1, 2, 3, 4];
/** Crashes after which the entries must know the part that causes them. */
const CRASHES_TO_KNOW = 5;
/** Milliseconds after the last of these crashes until all entries know the part. */
const CONTACT_MS = 3000;
/** Maximum number of requests with the part that are sent on after that. */
const MAX_SENT_AFTER = 3;
/** When the first request with the part arrives, in milliseconds. */
const FIRST_AT = 30_000;
/** The same if the entries have seen few other requests by then. */
const EARLY_FIRST_AT = 2000;

interface Traffic {
  /** Milliseconds between two sound requests, on average. */
  readonly soundMs: number;
  /** Milliseconds between two requests with the part. */
  readonly partMs: number;
}

function createOptions(
  { soundMs, partMs }: Traffic,
  changes: Partial<PoisonFleetOptions> = {},
): PoisonFleetOptions & { readonly poisonPart: PoisonPart } {
  return {
    seed: 1,
    entries: 2,
    groups: 24,
    ranksPerGroup: 1,
    requestsPerSecond: 1000 / soundMs,
    poisonRequests: 0,
    poisonIntervalMs: 500,
    losses: [],
    poisonPart: { position: 1, at: FIRST_AT, intervalMs: partMs },
    ...changes,
  };
}

function countSentAfter(result: PoisonFleetResult): number {
  const fifth = result.crashedAt[CRASHES_TO_KNOW - 1];
  if (fifth === undefined) return 0;
  return result.poisonSentAt.filter((at) => at > fifth + CONTACT_MS).length;
}

const TRAFFIC: Readonly<Record<string, Traffic>> = {
  "one in seven requests": { soundMs: 400, partMs: 2500 },
  "two in five requests": { soundMs: 1500, partMs: 2500 },
  "half of the requests, eight seconds apart": { soundMs: 8000, partMs: 8000 },
  "three in four requests": { soundMs: 5000, partMs: 1500 },
  "nine in ten requests": { soundMs: 13_500, partMs: 1500 },
  "one in twenty requests": { soundMs: 150, partMs: 3000 },
};

const FLEETS: Readonly<Record<string, Partial<PoisonFleetOptions>>> = {
  "two entries": {},
  "39 entries": { entries: 39 },
  "two entries, which restart one after the other": {
    restarts: [{ at: 32_000, share: 0.5 }],
  },
  "two entries, while racks are lost": {
    losses: [{ at: 28_000, share: 0.3 }, { at: 36_000, share: 0.3 }],
  },
};

function check(traffic: Traffic, changes: Partial<PoisonFleetOptions>): void {
  const options = createOptions(traffic, changes);
  const runMs = options.poisonPart.at +
    Math.max(RUN_AFTER_MS, traffic.partMs * MIN_PART_REQUESTS);
  for (const seed of SEEDS) {
    const result = new PoisonFleet({ ...options, seed }).run(runMs);
    const sentAfter = countSentAfter(result);
    const details = `seed ${seed}: ${result.crashes} crashes, ` +
      `${sentAfter} sent after, ${result.refusedHarmless} refused`;
    assert.ok(sentAfter <= MAX_SENT_AFTER, details);
    assert.equal(result.refusedHarmless, 0, details);
  }
}

describe("a part of prompts that crashes servers with little traffic", () => {
  for (const [fleetName, changes] of Object.entries(FLEETS)) {
    for (const [trafficName, traffic] of Object.entries(TRAFFIC)) {
      it(`in ${trafficName} is refused by ${fleetName}`, () => {
        check(traffic, changes);
      });
    }
  }

  for (const soundMs of [400, 1500, 2000]) {
    it(`is refused by entries that have just started, with a sound request each ${soundMs} ms`, () => {
      const intervalMs = 2500;
      const poisonPart = {
        position: 1,
        at: EARLY_FIRST_AT,
        intervalMs,
      } as const;
      check({ soundMs, partMs: intervalMs }, { poisonPart });
    });
  }
});

/**
 * Guards against a harmless part that is refused because the servers that run its requests
 * are lost, again and again, before they are answered.
 */
describe("a part that most prompts have", () => {
  const fleets: Readonly<Record<string, Partial<PoisonFleetOptions>>> = {
    "one group": { groups: 1, ranksPerGroup: 12, entries: 9 },
    "servers of no group": { entries: 2 },
  };
  const losses = Array.from(
    { length: 10 },
    (_, number) => ({ at: 5000 + number * 2500, share: 0.3 }),
  );
  for (const [fleetName, changes] of Object.entries(fleets)) {
    for (const soundMs of [1000, 20]) {
      for (const share of [0.6, 0.9]) {
        it(`is not refused, ${fleetName}, a request each ${soundMs} ms, ${share} of them`, () => {
          const popularPart = { share, answerAfterMs: 2500 };
          const traffic = { soundMs, partMs: 0 };
          const { poisonPart: _, ...options } = createOptions(traffic, changes);
          for (const seed of SEEDS) {
            const { refusedHarmless } = new PoisonFleet({
              ...options,
              seed,
              popularPart,
              losses,
              restarts: [{ at: 8000, share: 1 }, { at: 20_000, share: 1 }],
            }).run(35_000);
            assert.equal(refusedHarmless, 0, `seed ${seed}`);
          }
        });
      }
    }
  }
});
