/**
 * Bundles the program and puts it into one binary with the Node.js that builds
 * it: `npm run build` makes dist/lagoonwharf.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";

const FOLDER = "dist";
const BUNDLE = `${FOLDER}/lagoonwharf.cjs`;
const BLOB = `${FOLDER}/lagoonwharf.blob`;
const BINARY = `${FOLDER}/lagoonwharf`;
/** Marks the place in Node.js's binary that a program may be put into. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Optional native parts of libraries, which the program does without. */
const LEFT_OUT = [
  "dtrace-provider",
  "source-map-support",
  "mv",
  "msgpackr-extract",
  "bufferutil",
  "utf-8-validate",
];

/**
 * Node.js warns of every `require` in a single binary. The libraries try their
 * optional parts by it, so a `require` that knows only Node.js's own modules
 * takes its place and leaves nothing to warn of.
 */
const BANNER = `
const __importMeta = { url: "file:///lagoonwharf", filename: __filename };
const __nodeRequire = require;
require = function (name) {
  if (__nodeRequire("node:module").isBuiltin(name)) return __nodeRequire(name);
  const error = new Error("Cannot find module " + name);
  error.code = "MODULE_NOT_FOUND";
  throw error;
};
`;

async function bundle(): Promise<void> {
  await build({
    entryPoints: ["src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: BUNDLE,
    external: LEFT_OUT,
    define: { "import.meta": "__importMeta" },
    banner: { js: BANNER },
    legalComments: "none",
  });
}

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
await bundle();
putIntoBinary();
process.stdout.write(`Made ${BINARY}\n`);
