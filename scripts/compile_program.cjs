// Writes the compiled code of a program: `node FLAGS compile_program.cjs LAUNCHER FILE`.
// The program is started with the settings in FILE and ended after a moment, so that
// what it needs to get ready is compiled, and not more.
const { writeFileSync } = require("node:fs");
const { resolve } = require("node:path");

// Long enough for a process to listen and to find that nobody else is there.
const RUN_MS = 700;

const [launcher, settings] = process.argv.slice(2);
process.argv.splice(2, 2, settings);
const { script, compiled } = require(resolve(launcher));

function write() {
  writeFileSync(compiled, script.createCachedData());
}

process.once("exit", write);
setTimeout(() => process.exit(0), RUN_MS);
