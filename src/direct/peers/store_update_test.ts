import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createOperatorSettings } from "../../testing/fixtures.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import { createStoreUpdate, type KnownStoreState } from "./store_update.ts";

function createSettings(version: number): SettingsInUse {
  return {
    text: `settings ${version}`,
    settings: createOperatorSettings(version),
  };
}

function createStoreState(
  changes: Partial<KnownStoreState> = {},
): KnownStoreState {
  return {
    isReading: true,
    settings: createSettings(4),
    settingsCheckedAt: 50,
    directory: { instances: [], revision: 9, content: "none", askedAt: 100 },
    processes: { revision: 3, processes: [] },
    ...changes,
  };
}

describe("createStoreUpdate", () => {
  it("includes everything and its age for an entry that knows nothing", () => {
    const update = createStoreUpdate(
      createStoreState(),
      { processesRevision: 0 },
      350,
    );
    assert.equal(update.settingsText, "settings 4");
    assert.equal(update.settingsAgeMs, 300);
    assert.deepEqual(update.directory, {
      instances: [],
      revision: 9,
      content: "none",
      ageMs: 250,
    });
    assert.equal(update.processes?.revision, 3);
  });

  it("includes drains for an entry that knows none or older ones", () => {
    const drains = { revision: 7, failureDomains: ["a"] };
    const drainsFor = (drainsRevision?: number) =>
      createStoreUpdate(createStoreState({ drains }), { drainsRevision }, 350)
        .drains;
    assert.deepEqual(drainsFor(), drains);
    assert.deepEqual(drainsFor(6), drains);
    assert.equal(drainsFor(7), undefined);
    assert.equal(
      createStoreUpdate(createStoreState(), {}, 350).drains,
      undefined,
    );
  });

  it("includes whether the store answers the sender", () => {
    const withoutReader = createStoreState({ isReading: false });
    assert.equal(createStoreUpdate(withoutReader, {}, 350).isReading, false);
  });

  it("omits what the receiver knows already, but includes its age", () => {
    const known = {
      settingsVersion: 4,
      directoryContent: "none",
      processesRevision: 3,
    };
    const update = createStoreUpdate(createStoreState(), known, 350);
    assert.equal(update.settingsText, undefined);
    assert.equal(update.settingsAgeMs, 300);
    assert.equal(update.directory?.instances, undefined);
    assert.equal(update.directory?.ageMs, 250);
    assert.equal(update.processes, undefined);
  });

  it("is empty when the sender knows nothing", () => {
    const empty = createStoreState({
      settings: undefined,
      settingsCheckedAt: Number.NEGATIVE_INFINITY,
      directory: undefined,
    });
    const update = createStoreUpdate(empty, {}, 350);
    assert.equal(update.settingsText, undefined);
    assert.equal(update.settingsAgeMs, undefined);
    assert.equal(update.directory, undefined);
  });
});
