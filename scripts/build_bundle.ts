/**
 * Bundles and compiles the programs of machines that have Node.js, one for each role:
 * target/entry.cjs and target/rank.cjs run them.
 *
 * @module
 */
import { bundle } from "./bundle.ts";
import { writeCompiled } from "./compiled_program.ts";

/**
 * The programs call others through connections by HTTP/1.1 only, and build
 * histograms but read or write no logs of them; the rest of these libraries would be
 * loaded for nothing.
 */
const REPLACING = {
  undici: "./scripts/http_client.cjs",
  "hdr-histogram-js": "hdr-histogram-js/dist/HistogramBuilder.js",
};
/** HTTP/2, for which Node.js loads some 20 ms of code. */
const EMPTIED = ["undici/lib/dispatcher/client-h2.js"];

for (const role of ["entry", "rank"] as const) {
  await bundle({
    from: `platform/${role}_main.ts`,
    to: `target/${role}_program.cjs`,
    replacing: REPLACING,
    emptied: EMPTIED,
  });
  writeCompiled(role, "target");
}
