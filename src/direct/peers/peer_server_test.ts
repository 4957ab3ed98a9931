import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SettingsInUse } from "../settings_follower.ts";
import { createNews, type StoreKnowledge } from "./peer_server.ts";

function createSettings(version: number): SettingsInUse {
  return {
    text: `settings ${version}`,
    settings: {
      version,
      documents: new Map(),
      idleLimitMs: 1000,
      pools: new Set(),
      groups: new Map(),
    },
  };
}

function createKnowledge(
  changes: Partial<StoreKnowledge> = {},
): StoreKnowledge {
  return {
    isReading: true,
    settings: createSettings(4),
    settingsCheckedAt: 50,
    directory: { instances: [], revision: 9, content: "none", askedAt: 100 },
    processes: { revision: 3, processes: [] },
    ...changes,
  };
}

describe("createNews", () => {
  it("tells all to an entry that knows nothing, with its age", () => {
    const news = createNews(createKnowledge(), { processesRevision: 0 }, 350);
    assert.equal(news.settingsText, "settings 4");
    assert.equal(news.settingsAgeMs, 300);
    assert.deepEqual(news.directory, {
      instances: [],
      revision: 9,
      content: "none",
      ageMs: 250,
    });
    assert.equal(news.processes?.revision, 3);
  });

  it("tells drains to who knows none or older ones, with the settings", () => {
    const drains = { revision: 7, failureDomains: ["a"] };
    const told = (drainsRevision?: number) =>
      createNews(createKnowledge({ drains }), { drainsRevision }, 350).drains;
    assert.deepEqual(told(), drains);
    assert.deepEqual(told(6), drains);
    assert.equal(told(7), undefined);
    assert.equal(createNews(createKnowledge(), {}, 350).drains, undefined);
  });

  it("says whether it has this from the store, or from whom it helps", () => {
    const turnedAway = createKnowledge({ isReading: false });
    assert.equal(createNews(turnedAway, {}, 350).isReading, false);
  });

  it("leaves out what the asker has, and tells how old that is", () => {
    const known = {
      settingsVersion: 4,
      directoryContent: "none",
      processesRevision: 3,
    };
    const news = createNews(createKnowledge(), known, 350);
    assert.equal(news.settingsText, undefined);
    assert.equal(news.settingsAgeMs, 300);
    assert.equal(news.directory?.instances, undefined);
    assert.equal(news.directory?.ageMs, 250);
    assert.equal(news.processes, undefined);
  });

  it("tells nothing when it knows nothing", () => {
    const empty = createKnowledge({
      settings: undefined,
      settingsCheckedAt: Number.NEGATIVE_INFINITY,
      directory: undefined,
    });
    const news = createNews(empty, {}, 350);
    assert.equal(news.settingsText, undefined);
    assert.equal(news.settingsAgeMs, undefined);
    assert.equal(news.directory, undefined);
  });
});
