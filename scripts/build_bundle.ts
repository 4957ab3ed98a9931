/**
 * Bundles and compiles a program for each role, for VMs that have Node.js installed.
 * target/entry.cjs and target/rank.cjs start them.
 *
 * @module
 */
import { buildRoleProgram } from "./role_program.ts";

for (const role of ["entry", "rank"] as const) {
  await buildRoleProgram(role, "target");
}
