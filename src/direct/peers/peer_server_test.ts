import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Directory } from "../directory_follower.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import { createNews, createReaderNews } from "./peer_server.ts";

function createSettings(version: number): SettingsInUse {
  return {
    text: `settings ${version}`,
    settings: {
      version,
      documents: new Map(),
      idleLimitMs: 1000,
      groups: new Map(),
    },
  };
}

function createDirectory(revision: number): Directory {
  return { instances: [], revision, askedAt: 100 };
}

describe("createNews", () => {
  const knowledge = {
    settings: createSettings(4),
    directory: createDirectory(9),
  };

  it("tells all to an entry that knows nothing, with its age", () => {
    const news = createNews(knowledge, { kind: "store_news_query" }, 350);
    assert.equal(news.settingsText, "settings 4");
    assert.deepEqual(news.directory, {
      instances: [],
      revision: 9,
      ageMs: 250,
    });
  });

  it("leaves out what the asker has", () => {
    const query = {
      kind: "store_news_query",
      settingsVersion: 4,
      directoryRevision: 9,
    } as const;
    const news = createNews(knowledge, query, 350);
    assert.equal(news.settingsText, undefined);
    assert.equal(news.directory, undefined);
  });

  it("tells nothing when it knows nothing", () => {
    const empty = { settings: undefined, directory: undefined };
    const news = createNews(empty, { kind: "store_news_query" }, 350);
    assert.equal(news.settingsText, undefined);
    assert.equal(news.directory, undefined);
  });
});

describe("createReaderNews", () => {
  it("tells the list with its age, and which settings there are", () => {
    const directory = createDirectory(9);
    const news = createReaderNews(
      { settings: createSettings(4), directory },
      350,
    );
    assert.equal(news.settingsVersion, 4);
    assert.equal(news.settingsText, undefined);
    assert.equal(news.directory?.ageMs, 250);
  });
});
