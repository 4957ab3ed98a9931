/**
 * All entries are killed after they have learned which part of a prompt crashes servers.
 *
 * @module
 */
import { HAS_TROUBLE, record, run, seconds, sleep } from "./deployment.ts";
import {
  CONTACT_S,
  CRASHES_TO_LEARN,
  MOST_MORE,
  PoisonFleet,
} from "./poison_fleet.ts";

const fleet = new PoisonFleet();

async function play(): Promise<boolean> {
  await fleet.start();
  await sleep(2000);
  void fleet.keepSending("sound", 125);
  await sleep(10_000);
  void fleet.keepSending("bad", 500);
  await sleep(25_000);
  const before = fleet.crashes.length;
  const reachedBefore = fleet.reached.length;
  record(`crashes: ${before}; all entries are killed now`);
  if (HAS_TROUBLE) {
    await Promise.all(fleet.entries.map((entry) => entry.kill()));
    await sleep(500);
    await fleet.startEntries();
  }
  const backAt = seconds();
  await sleep(40_000);
  fleet.isOver = true;
  await sleep(1000);
  record(`sound requests: ${fleet.served} of ${fleet.sent} served`);
  record(`crashes: ${fleet.crashes.length}, ${before} before the kill`);
  const fifth = fleet.crashes[CRASHES_TO_LEARN - 1];
  if (fifth === undefined) return true;
  const early = fleet.reached.slice(0, reachedBefore)
    .filter(({ at }) => at > fifth + CONTACT_S);
  const late = fleet.reached.slice(reachedBefore)
    .filter(({ at }) => at > Math.max(fifth, backAt) + CONTACT_S);
  record(
    `later than ${CONTACT_S} s after the fifth crash, ${early.length} requests ` +
      `with the part reached servers before the kill, and ${late.length} later ` +
      `than ${CONTACT_S} s after the entries were back`,
  );
  return early.length + late.length <= MOST_MORE;
}

run(play, () => fleet.close());
