/**
 * Bundles the program with its libraries into one file that Node.js runs.
 *
 * @module
 */
import { build, type Plugin } from "esbuild";

/** Optional native dependencies of libraries, which the program does not need. */
const EXTERNAL_MODULES = [
  "dtrace-provider",
  "source-map-support",
  "mv",
  "msgpackr-extract",
  "bufferutil",
  "utf-8-validate",
];

/**
 * Replaces `require` by a function that loads only the built-in modules of Node.js.
 * Node.js prints a warning for every call of its own `require` in a single executable,
 * and libraries call it to look for their optional dependencies.
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

/**
 * Number of characters after which a line is broken. To describe a failed assertion that
 * has no message, Node.js parses its line in pieces, which takes seconds for a line of
 * 250,000 characters.
 */
const MAX_LINE_LENGTH = 200;

/** Options of {@link bundle}. */
export interface BundleOptions {
  /** Entry point of the program. */
  readonly from: string;
  /** File that is written. */
  readonly to: string;
  /** Replacements of modules by the names of the modules that they replace. */
  readonly replacedModules?: Readonly<Record<string, string>>;
  /** Path suffixes of library files that are bundled as empty, as they are never used. */
  readonly emptyFiles?: readonly string[];
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
  const { from, to, replacedModules, emptyFiles = [] } = options;
  await build({
    entryPoints: [from],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: to,
    alias: replacedModules,
    plugins: [createEmptyFilePlugin(emptyFiles)],
    external: EXTERNAL_MODULES,
    define: { "import.meta": "__importMeta" },
    banner: { js: BANNER },
    legalComments: "none",
    lineLimit: MAX_LINE_LENGTH,
    // Reduces the text to parse to a third. Names are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
  });
}

/** Bundles files as empty modules, which also omits the modules that only they import. */
function createEmptyFilePlugin(emptyFiles: readonly string[]): Plugin {
  return {
    name: "emptying",
    setup({ onLoad }) {
      onLoad(
        { filter: /node_modules/ },
        ({ path }) =>
          emptyFiles.some((suffix) => path.endsWith(suffix))
            ? { contents: "module.exports = undefined;" }
            : undefined,
      );
    },
  };
}
