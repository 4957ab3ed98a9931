import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { after, describe, it } from "node:test";
import { bundle } from "./bundle.ts";

/** Milliseconds by which a standstill may delay the answers of all requests. */
const STANDSTILL_LIMIT_MS = 500;

/**
 * A program whose HTTP client gets an answer with the status 000, which fails an
 * assertion of the client's library. It prints for how many milliseconds its event loop
 * stood still.
 */
const PROGRAM = `
import { createServer } from "node:net";
import { Client } from ${JSON.stringify(resolve("node_modules/undici"))};

let longest = 0;
let last = performance.now();
setInterval(() => {
  const now = performance.now();
  longest = Math.max(longest, now - last);
  last = now;
}, 5);
const server = createServer((socket) => {
  socket.on("error", () => undefined);
  socket.on("data", () =>
    socket.write("HTTP/1.1 000 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok"));
});
server.listen(0, "127.0.0.1", async () => {
  const { port } = server.address() as { readonly port: number };
  const client = new Client(\`http://127.0.0.1:\${port}\`);
  const error = await client.request({ path: "/", method: "GET" })
    .then(() => undefined, (reason) => reason);
  setTimeout(() => {
    console.log(JSON.stringify({ name: error?.name, longest }));
    process.exit(0);
  }, 50);
});
`;

/**
 * Guards against a program that stands still for seconds when an assertion of a library
 * fails: Node.js parses the line of an assertion that has no message to write one.
 */
describe("a bundled program", () => {
  const folder = mkdtempSync(join(tmpdir(), "lagoonwharf-bundle-"));
  after(() => rmSync(folder, { recursive: true }));

  it("does not stand still when an assertion of a library fails", async () => {
    const from = join(folder, "program.ts");
    const to = join(folder, "program.cjs");
    writeFileSync(from, PROGRAM);
    await bundle({ from, to });
    const output = execFileSync(process.execPath, [to], { encoding: "utf8" });
    const { name, longest } = JSON.parse(output);
    assert.equal(name, "AssertionError");
    assert.ok(longest < STANDSTILL_LIMIT_MS, `${longest} ms`);
  });
});
