/**
 * Bundles and compiles the program of one role, for VMs that have Node.js installed.
 *
 * @module
 */
import { bundle } from "./bundle.ts";
import { type CompiledRole, writeCompiledProgram } from "./compiled_program.ts";

/**
 * Modules that are bundled in place of whole libraries. The programs use only HTTP/1.1
 * connections of undici, and neither read nor write logs of histograms, so the rest of
 * these libraries would be loaded without being used.
 */
const REPLACED_MODULES = {
  undici: "./scripts/http_client.cjs",
  "hdr-histogram-js": "hdr-histogram-js/dist/HistogramBuilder.js",
};
/** HTTP/2 support, which is not used. Node.js takes about 20 ms to load its code. */
const EMPTY_FILES = ["undici/lib/dispatcher/client-h2.js"];

/**
 * Builds the program of a role; `ROLE.cjs` in the folder starts it.
 *
 * @example
 * ```ts
 * await buildRoleProgram("entry", "target");
 * ```
 */
export async function buildRoleProgram(
  role: CompiledRole,
  folder: string,
): Promise<void> {
  await bundle({
    from: `platform/${role}_main.ts`,
    to: `${folder}/${role}_program.cjs`,
    replacedModules: REPLACED_MODULES,
    emptyFiles: EMPTY_FILES,
  });
  await writeCompiledProgram(role, folder);
}
