/**
 * One part of a prompt crashes each server that begins to write an answer on it, in a
 * deployment with little traffic.
 *
 * @module
 */
import { record, run, sleep } from "./deployment.ts";
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
  void fleet.keepSending("sound", 1500);
  void fleet.keepSending("bad", 2500);
  await sleep(50_000);
  fleet.isOver = true;
  await sleep(1000);
  record(`sound requests: ${fleet.served} of ${fleet.sent} served`);
  record(`crashes: ${fleet.crashes.length}`);
  const fifth = fleet.crashes[CRASHES_TO_LEARN - 1];
  if (fifth === undefined) return true;
  const late = fleet.reached.filter(({ at }) => at > fifth + CONTACT_S);
  record(
    `the fifth crash was at ${fifth.toFixed(3)} s; later than ${CONTACT_S} s ` +
      `after it, ${late.length} requests with the part reached servers`,
  );
  return late.length <= MOST_MORE;
}

run(play, () => fleet.close());
