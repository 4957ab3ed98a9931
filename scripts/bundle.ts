/**
 * Bundles the program with its libraries into one file that Node.js runs.
 *
 * @module
 */
import { build, type Plugin } from "esbuild";

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

/** What is bundled, and into which file. */
export interface BundleOptions {
  /** Module that the program begins with. */
  readonly from: string;
  readonly to: string;
  /** Modules that take the place of others, by the name of those. */
  readonly replacing?: Readonly<Record<string, string>>;
  /** Files of libraries that are never called, and left empty; their paths end so. */
  readonly emptied?: readonly string[];
}

/**
 * Bundles a program into one CommonJS file.
 *
 * @example
 * ```ts
 * await bundle({ from: "src/main.ts", to: "dist/lagoonwharf.cjs" });
 * ```
 */
export async function bundle(options: BundleOptions): Promise<void> {
  const { from, to, replacing, emptied = [] } = options;
  await build({
    entryPoints: [from],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: to,
    alias: replacing,
    plugins: [createEmptying(emptied)],
    external: LEFT_OUT,
    define: { "import.meta": "__importMeta" },
    banner: { js: BANNER },
    legalComments: "none",
    // A third of the text is left to parse; names stay for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
  });
}

/** Leaves files empty, and with them all that only they load. */
function createEmptying(emptied: readonly string[]): Plugin {
  return {
    name: "emptying",
    setup({ onLoad }) {
      onLoad(
        { filter: /node_modules/ },
        ({ path }) =>
          emptied.some((end) => path.endsWith(end))
            ? { contents: "module.exports = undefined;" }
            : undefined,
      );
    },
  };
}
