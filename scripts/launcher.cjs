// Runs the program beside this file from the code that was compiled when it was built.
// Node.js compiles anew what it does not take: that of another version, or for other
// flags.
const { existsSync, readFileSync } = require("node:fs");
const { Script } = require("node:vm");

const program = __filename.replace(/\.cjs$/, "_program.cjs");
const compiled = program.replace(/\.cjs$/, ".compiled");

// The text is ASCII, which Node.js holds in half of the memory when told so.
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
