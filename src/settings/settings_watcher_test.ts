import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EventLog } from "../events/event_log.ts";
import { FakeKeyValueService } from "../testing/fake_key_value_service.ts";
import { BodyCache, KeyValueBodySource } from "./body_source.ts";
import { SettingsKeeper } from "./settings_keeper.ts";
import { SettingsWatcher } from "./settings_watcher.ts";
import { SettingsWriter } from "./settings_writer.ts";

/** Milliseconds that suffice for one call. */
const CALL_MS = 50;

async function createServiceWithSettings() {
  const service = new FakeKeyValueService();
  const bodies = new BodyCache();
  bodies.addSource(new KeyValueBodySource(service));
  await new SettingsWriter(service, bodies).write({
    path: "/organisations/a",
    text: "kind: organisation\n",
    changeId: "change-1",
    baseRecord: undefined,
    author: "operator",
    at: "2026-12-02T00:00:00.000Z",
    minRevision: 0,
  });
  return { service, bodies };
}

/**
 * Guards against a key-value service that is reported as unreachable because this
 * program throws while it puts the settings in force that the service returned.
 */
describe("an exception while settings are put in force", () => {
  it("is logged as an internal fault while the service counts as reached", async () => {
    const { service, bodies } = await createServiceWithSettings();
    const log = new EventLog({ role: "entry", processName: "test" });
    const reached: boolean[] = [];
    const keeper = new SettingsKeeper(bodies, {
      onSnapshot: () => {
        throw new TypeError("unexpected value");
      },
    });
    const watcher = new SettingsWatcher(service, keeper, {
      log,
      listener: {
        onBehind: () => undefined,
        onReachable: (isReachable) => reached.push(isReachable),
      },
    });
    await sleep(CALL_MS);
    watcher.stop();
    assert.ok(reached.length > 0 && reached.every((isReached) => isReached));
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});
