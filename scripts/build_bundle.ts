/**
 * Bundles the programs of machines that have Node.js, one file for each role:
 * target/entry.cjs and target/rank.cjs.
 *
 * @module
 */
import { bundle } from "./bundle.ts";

/**
 * The programs call others through pools of connections only; the rest of the
 * library would be loaded for nothing.
 */
const REPLACING = { undici: "./scripts/connection_pools.cjs" };

await bundle({
  from: "platform/entry_main.ts",
  to: "target/entry.cjs",
  replacing: REPLACING,
});
await bundle({
  from: "platform/rank_main.ts",
  to: "target/rank.cjs",
  replacing: REPLACING,
});
