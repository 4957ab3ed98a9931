// Runs the program in the same folder from the code that was compiled at build time.
// Node.js rejects code that was compiled by another version or with other flags, and
// compiles the program again.
const { existsSync, readFileSync } = require("node:fs");
const { Script } = require("node:vm");

const program = __filename.replace(/\.cjs$/, "_program.cjs");
const compiled = program.replace(/\.cjs$/, ".compiled");

// The text is ASCII. Decoded as Latin-1, it takes half of the memory.
const source = readFileSync(program, "latin1");
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  {
    filename: program,
    cachedData: existsSync(compiled) ? readFileSync(compiled) : undefined,
  },
);
const run = script.runInThisContext();
run(exports, require, module, program, __dirname);

module.exports = { script, compiled };
