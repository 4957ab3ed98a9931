/**
 * Builds a single executable, dist/lagoonwharf, from the bundled program and the Node.js
 * binary that runs this script: `npm run build`.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { bundle } from "./bundle.ts";

const OUTPUT_FOLDER = "dist";
const BUNDLE = `${OUTPUT_FOLDER}/lagoonwharf.cjs`;
const BLOB = `${OUTPUT_FOLDER}/lagoonwharf.blob`;
const BINARY = `${OUTPUT_FOLDER}/lagoonwharf`;
/** Sentinel in the Node.js binary that marks where a program can be injected. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

function createBinary(): void {
  const settingsFile = `${OUTPUT_FOLDER}/sea.json`;
  writeFileSync(
    settingsFile,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ["--experimental-sea-config", settingsFile], {
    stdio: "ignore",
  });
  copyFileSync(process.execPath, BINARY);
  chmodSync(BINARY, 0o755);
  execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    BINARY,
    "NODE_SEA_BLOB",
    BLOB,
    "--sentinel-fuse",
    FUSE,
  ], { stdio: "ignore" });
}

mkdirSync(OUTPUT_FOLDER, { recursive: true });
await bundle({ from: "src/main.ts", to: BUNDLE });
createBinary();
process.stdout.write(`Made ${BINARY}\n`);
