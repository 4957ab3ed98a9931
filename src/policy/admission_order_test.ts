import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  AdmissionOrder,
  type AdmissionRequest,
  getDeferralRetryDelayMs,
  getDeferredFraction,
  type RetryDelayInput,
} from "./admission_order.ts";

const KNOWN = [3, 5, 7] as const;
const REQUESTS = 3000;

interface Sender {
  readonly priority: number;
  readonly organisation: string;
  /** Number of requests that this sender contributes. */
  readonly requests: number;
}

function createOrder(senders: readonly Sender[], now = 0): AdmissionOrder {
  const order = new AdmissionOrder();
  for (const { requests, ...sender } of senders) {
    for (let index = 0; index < requests; index++) {
      order.recordArrival({ ...sender, weight: 1, now });
    }
  }
  return order;
}

/** Creates an order in which each priority makes up a third of all arrivals. */
function createEvenOrder(): AdmissionOrder {
  return createOrder(KNOWN.map((priority) => ({
    priority,
    organisation: "andamaq",
    requests: REQUESTS,
  })));
}

function getDeferral(
  order: AdmissionOrder,
  request: Partial<AdmissionRequest>,
  context: { readonly deferredFraction: number; readonly now?: number },
): number {
  const held = order.getDeferralProbability(
    { priority: 7, organisation: "andamaq", weight: 1, ...request },
    {
      now: context.now ?? 0,
      deferredFraction: context.deferredFraction,
      knownPriorities: KNOWN,
    },
  );
  return Math.round(held * 100) / 100;
}

function getDeferralByPriority(
  order: AdmissionOrder,
  deferredFraction: number,
): readonly number[] {
  return KNOWN.map((priority) =>
    getDeferral(order, { priority }, { deferredFraction })
  );
}

describe("deferred fraction", () => {
  it("grows from 0 to 1 between 0.7 and 1 of the capacity", () => {
    const getFractionAt = (load: number) =>
      getDeferredFraction({ load, capacity: 100 });
    const fractions = [60, 70, 85, 100, 200].map(getFractionAt);
    const rounded = fractions.map((fraction) =>
      Math.round(fraction * 100) / 100
    );
    assert.deepEqual(rounded, [0, 0, 0.5, 1, 1]);
    assert.equal(getDeferredFraction({ load: 0, capacity: 0 }), 1);
  });
});

describe("retry delay of a deferred request", () => {
  const getDelaysAt = (deferredFraction: number) =>
    [0, 0.5, 0.999].map((randomFraction) =>
      Math.round(
        getDeferralRetryDelayMs({
          leftMs: 8000,
          deferredFraction,
          randomFraction,
        }),
      )
    );

  it("ranges from a second to a third of the time left, more with a higher deferred fraction", () => {
    assert.deepEqual(getDelaysAt(0), [1000, 1241, 1482]);
    assert.deepEqual(getDelaysAt(1), [1000, 1803, 2605]);
  });

  it("stays below a third of a short remaining time", () => {
    const input: RetryDelayInput = {
      leftMs: 1500,
      deferredFraction: 1,
      randomFraction: 0.5,
    };
    assert.equal(getDeferralRetryDelayMs(input), 440);
  });
});

describe("order of admission", () => {
  it("defers the least urgent first in a burst", () => {
    const order = createEvenOrder();
    assert.deepEqual(getDeferralByPriority(order, 0), [0, 0, 0]);
    assert.deepEqual(getDeferralByPriority(order, 0.2), [0, 0, 0.6]);
    assert.deepEqual(getDeferralByPriority(order, 0.4), [0, 0.45, 0.75]);
  });

  it("admits a quarter of the least urgent and all of the most urgent", () => {
    assert.deepEqual(getDeferralByPriority(createEvenOrder(), 1), [
      0,
      0.75,
      0.75,
    ]);
  });

  it("assumes equal shares of the priorities before the first arrival", () => {
    const order = new AdmissionOrder();
    assert.deepEqual(getDeferralByPriority(order, 0.2), [0, 0, 0.6]);
  });

  it("does not treat the only priority that an entry received as the most urgent", () => {
    const sender = { priority: 7, organisation: "andamaq", requests: 1 };
    const order = createOrder([sender]);
    assert.deepEqual(getDeferralByPriority(order, 1), [0, 0.75, 0.75]);
  });

  it("ignores arrivals outside its window", () => {
    const sender = { priority: 7, organisation: "andamaq", requests: 1000 };
    const order = createOrder([sender]);
    assert.equal(getDeferral(order, {}, { deferredFraction: 0.2 }), 0.2);
    assert.equal(
      getDeferral(order, {}, { deferredFraction: 0.2, now: 5000 }),
      0.6,
    );
  });

  it("defers a large organisation before many small ones", () => {
    const small = Array.from({ length: 40 }, (_, index) => ({
      priority: 7,
      organisation: `small-${index}`,
      requests: 10,
    }));
    const large = { priority: 7, organisation: "large", requests: 600 };
    const order = createOrder([...small, large]);
    const deferredFraction = 0.3;
    const ofLarge = getDeferral(order, { organisation: "large" }, {
      deferredFraction,
    });
    const ofSmall = getDeferral(order, { organisation: "small-1" }, {
      deferredFraction,
    });
    assert.equal(ofSmall, 0);
    assert.ok(ofLarge > 0.4 && ofLarge < 0.6, `${ofLarge}`);
    // The large organisation is admitted with at least half of the usual fraction.
    const ofLargeAtMost = getDeferral(order, { organisation: "large" }, {
      deferredFraction: 1,
    });
    assert.ok(ofLargeAtMost <= 0.88, `${ofLargeAtMost}`);
  });

  it("defers a priority without arrivals like the next more urgent one", () => {
    const sender = { priority: 8, organisation: "andamaq", requests: 1000 };
    const order = createOrder([sender, { ...sender, priority: 7 }]);
    const deferredFraction = 0.3;
    assert.equal(
      getDeferral(order, { priority: 8 }, { deferredFraction }),
      0.6,
    );
    assert.equal(getDeferral(order, { priority: 7 }, { deferredFraction }), 0);
    assert.equal(
      getDeferral(createEvenOrder(), { priority: 4 }, { deferredFraction }),
      0,
    );
  });
});
