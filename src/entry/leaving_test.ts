import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestWorld } from "../testing/request_world.ts";

/** Who hears that the first target is leaving, and by which way. */
interface LeavingRow {
  readonly name: string;
  readonly leave: (world: RequestWorld) => void;
  /** Longest time until its last new run, in virtual milliseconds. */
  readonly boundMs: number;
}

const LEAVING = 0;
const ENTRIES = 2;
const AT_ONCE = 8;
const READ_INTERVAL_MS = 2000;
const STEP_MS = 100;
const WATCHED_MS = 10_000;

/** The list or the settings reach one process after another reading interval. */
function hearLater(
  world: RequestWorld,
  hear: () => void,
): void {
  world.at(world.now + READ_INTERVAL_MS, hear);
}

const LEAVING_ROWS: readonly LeavingRow[] = [
  {
    name: "by signal, every entry hears it",
    leave: (world) => world.drain(LEAVING),
    boundMs: STEP_MS,
  },
  {
    name: "by signal, one entry cannot hear it",
    leave: (world) => {
      world.drain(LEAVING);
      world.dropNext(1, LEAVING);
    },
    boundMs: STEP_MS,
  },
  {
    name: "by the list, only the target hears it",
    leave: (world) => hearLater(world, () => world.setLeaving(LEAVING, true)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by the list, only the entries hear it",
    leave: (world) =>
      hearLater(world, () => world.listLeaving([0, 1], LEAVING)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by settings, only the target hears it",
    leave: (world) => hearLater(world, () => world.setLeaving(LEAVING, true)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by settings, only the entries hear it",
    leave: (world) =>
      hearLater(world, () => world.setLeavingBySettings([0, 1], LEAVING)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
];

describe("a target that is leaving", () => {
  for (const row of LEAVING_ROWS) {
    it(`gets no new work after a few seconds: ${row.name}`, (context) => {
      const world = new RequestWorld({ entries: ENTRIES, targets: 2 });
      send(world, 1000);
      for (let entry = 0; entry < ENTRIES; entry++) {
        const served = world.runsAt(LEAVING, entry);
        assert.ok(served > 0, `It served entry ${entry} before`);
      }
      const leftAt = world.now;
      row.leave(world);
      send(world, WATCHED_MS);
      const last = world.lastRunAt(LEAVING) - leftAt;
      context.diagnostic(`last new run after ${Math.max(0, last)} ms`);
      assert.ok(last <= row.boundMs, `${last} ms`);
    });
  }
});

/** Both entries go on sending. */
function send(world: RequestWorld, milliseconds: number): void {
  const end = world.now + milliseconds;
  while (world.now < end) {
    // Enough at once that each entry needs the target of the other domain.
    for (let number = 0; number < AT_ONCE; number++) {
      world.submit(number % ENTRIES, { method: "GET" });
    }
    world.settle();
    world.tick(STEP_MS);
  }
}
