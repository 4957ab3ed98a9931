/**
 * Bundles the program and puts it into one binary with the Node.js that builds
 * it: `npm run build` makes dist/lagoonwharf.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { bundle } from "./bundle.ts";

const FOLDER = "dist";
const BUNDLE = `${FOLDER}/lagoonwharf.cjs`;
const BLOB = `${FOLDER}/lagoonwharf.blob`;
const BINARY = `${FOLDER}/lagoonwharf`;
/** Marks the place in Node.js's binary that a program may be put into. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

function putIntoBinary(): void {
  const settings = `${FOLDER}/sea.json`;
  writeFileSync(
    settings,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ["--experimental-sea-config", settings], {
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

mkdirSync(FOLDER, { recursive: true });
await bundle({ from: "src/main.ts", to: BUNDLE });
putIntoBinary();
process.stdout.write(`Made ${BINARY}\n`);
