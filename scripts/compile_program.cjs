// Writes the code cache of a program: `node FLAGS compile_program.cjs LAUNCHER FILE`.
// Runs the program with the settings in FILE for a short time, so that the cache contains
// only the functions that a start needs.
const { writeFileSync } = require("node:fs");
const { resolve } = require("node:path");

// Long enough for a process to listen and to fail to connect to other processes.
const RUN_MS = 700;

const [launcher, settings] = process.argv.slice(2);
process.argv.splice(2, 2, settings);
const { script, compiled } = require(resolve(launcher));

function write() {
  writeFileSync(compiled, script.createCachedData());
}

process.once("exit", write);
setTimeout(() => process.exit(0), RUN_MS);
