import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { EVENT_NAMES, getEvent } from "./catalogue.ts";
import { createEventsPage } from "./events_page.ts";

describe("events page", () => {
  it("matches the catalogues", () => {
    const page = readFileSync("docs/EVENTS.md", "utf8");
    assert.equal(page, createEventsPage(), "Run `npm run docs`");
  });

  it("has a unique number for each event", () => {
    const codes = EVENT_NAMES.map((name) => getEvent(name).code);
    assert.equal(new Set(codes).size, codes.length);
  });
});
