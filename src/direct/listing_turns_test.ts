import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ListingTurns } from "./listing_turns.ts";

const LEAVING_MS = 2000;

/** Own listings in a time during which the reader tells a list each interval. */
function countListings(forMs: number, readerUntil: number): readonly number[] {
  const turns = new ListingTurns(LEAVING_MS);
  const listings: number[] = [];
  let toldAt = 0;
  for (let now = 0; now < forMs;) {
    while (toldAt <= now && toldAt < readerUntil) {
      turns.heard({ revision: toldAt, askedAt: toldAt });
      toldAt += turns.intervalMs;
    }
    const turn = turns.next(now);
    if (turn.kind === "list") listings.push(now);
    now += turn.kind === "list" ? turns.intervalMs : turn.forMs;
  }
  return listings;
}

describe("turns of listing the back ends", () => {
  it("come twice and more in the time of leaving without a reader", () => {
    const listings = countListings(20_000, 0);
    for (const [index, at] of listings.entries()) {
      const before = listings[index - 1] ?? 0;
      assert.ok(at - before <= LEAVING_MS / 2);
    }
  });

  it("are left to the reader but for every third", () => {
    const alone = countListings(20_000, 0).length;
    const read = countListings(20_000, 20_000).length;
    assert.ok(read <= 0.4 * alone, `${read} of ${alone}`);
    assert.ok(read >= 0.25 * alone, `${read} of ${alone}`);
  });

  it("are not left to a reader whose list may be old", () => {
    const turns = new ListingTurns(LEAVING_MS);
    const known = 7;
    for (const revision of [6, 7]) {
      turns.heard({ revision, askedAt: 0 }, known);
      assert.equal(turns.next(100).kind, "list");
    }
    turns.heard({ revision: 8, askedAt: 0 }, known);
    assert.equal(turns.next(100).kind, "wait");
  });

  it("are taken again as soon as the reader is silent", () => {
    const readerUntil = 9000;
    const next = countListings(20_000, readerUntil)
      .find((at) => at >= readerUntil);
    assert.ok(next !== undefined && next - readerUntil < LEAVING_MS / 2);
  });
});
