import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import { RankMetrics } from "./rank_metrics.ts";

describe("metrics of a rank's sidecar", () => {
  it("count events and calls, and show the age of the engine's state", async () => {
    const log = new EventLog({ role: "rank", processName: "rank-1" });
    const metrics = new RankMetrics(
      () => ({ subscribedEntries: 3, stateAgeMs: 120, isDecider: true }),
      log,
    );
    log.write("ENGINE_UNREACHABLE", { cause: "Connection refused" });
    metrics.countStoreCall("renew", true);
    const text = await metrics.page();
    for (
      const line of [
        'lagoonwharf_events_total{event="ENGINE_UNREACHABLE"} 1',
        'lagoonwharf_store_calls_total{kind="renew",outcome="failed"} 1',
        "lagoonwharf_entries_heard 3",
        "lagoonwharf_engine_state_age_milliseconds 120",
        "lagoonwharf_is_decider 1",
      ]
    ) assert.ok(text.includes(line), line);
  });
});
