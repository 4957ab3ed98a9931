import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import {
  createCallerRequest,
  createInstance,
  createRoutes,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";

const TARGETS = 72;
const DOMAINS = ["a", "b", "c"] as const;

function createInstances(
  changes: Partial<BackEndInstance> = {},
): readonly BackEndInstance[] {
  return Array.from(
    { length: TARGETS },
    (_, index) =>
      createInstance(`i-${index}`, {
        failureDomain: DOMAINS[index % DOMAINS.length],
        ...changes,
      }),
  );
}

/** Returns the targets of an entry's requests, each of which ends before the next one. */
function targetsOf(
  entryName: string,
  instances: readonly BackEndInstance[],
  failureDomain = "a",
): readonly string[] {
  const entry = new EntryReducer({
    failureDomain,
    entryName,
    random: new RandomSource(3),
  });
  entry.reduce({ kind: "settings_in_force", now: 0, routes: createRoutes() });
  entry.reduce({ kind: "instances_listed", now: 0, instances });
  const targets: string[] = [];
  for (let id = 1; id <= 600; id++) {
    const request = createCallerRequest({ id });
    const effects = entry.reduce({ kind: "request_arrived", now: id, request });
    for (const effect of effects) {
      if (effect.kind === "send") targets.push(effect.targetName);
    }
    entry.reduce({ kind: "caller_gone", now: id, requestId: id });
  }
  return targets;
}

describe("the targets in view of a large pool", () => {
  it("are a third of the pool, mostly in the entry's failure domain", () => {
    const targets = targetsOf("entry-1", createInstances());
    assert.equal(targets.length, 600);
    const used = new Set(targets);
    assert.ok(used.size <= 24, `${used.size} targets`);
    const near = [...used].filter((id) => Number(id.slice(2)) % 3 === 0);
    assert.ok(near.length >= 16, `${near.length} near`);
  });

  it("differ between entries, so that nearly all targets are used", () => {
    const used = new Set<string>();
    for (let number = 0; number < 12; number++) {
      const domain = DOMAINS[number % DOMAINS.length];
      const targets = targetsOf(`entry-${number}`, createInstances(), domain);
      for (const target of targets) used.add(target);
    }
    assert.ok(used.size > 0.8 * TARGETS, `${used.size} targets`);
  });

  it("do not keep requests from other targets when all in view leave", () => {
    const inView = new Set(targetsOf("entry-1", createInstances()));
    const instances = createInstances().map((instance): BackEndInstance => ({
      ...instance,
      state: inView.has(instance.id) ? "leaving" : "serving",
    }));
    const targets = targetsOf("entry-1", instances);
    assert.equal(targets.length, 600);
    assert.ok(targets.every((target) => !inView.has(target)));
  });
});
