/**
 * The order of the folders in `src`, and what breaks it.
 *
 * @module
 */
import { dirname, join, normalize } from "node:path";

/**
 * Folders from the lowest to the highest; those of one layer may import each other.
 * `.` stands for the files of `src` itself.
 */
export const LAYERS: readonly (readonly string[])[] = [
  ["core"],
  ["diagnostics", "refusals"],
  ["messages"],
  ["policy", "external"],
  ["events", "links"],
  ["group"],
  ["settings"],
  ["entry", "target"],
  ["direct"],
  ["process"],
  ["commands"],
  ["."],
  ["testing"],
];

/** An import from a lower folder up to a higher one that is still allowed. */
export interface LayerException {
  /** A file, or a folder with all files in it. */
  readonly from: string;
  /** The file that is imported. */
  readonly to: string;
  readonly reason: string;
}

/** A source file. */
export interface SourceFile {
  /** Path from the root of the project, as in `src/core/debug.ts`. */
  readonly path: string;
  readonly text: string;
}

/** One import of a file by another. */
export interface ImportEdge {
  readonly from: string;
  readonly to: string;
}

/** Imports and exceptions that must not stay as they are. */
export interface LayerFindings {
  /** Imports up that no exception allows. */
  readonly upward: readonly ImportEdge[];
  /** Exceptions that no import needs any more. */
  readonly unused: readonly LayerException[];
  /** Files that import themselves by way of others, one list a cycle. */
  readonly cycles: readonly (readonly string[])[];
}

const SPECIFIER = /(?:\bfrom|\bimport)\s*\(?\s*"(?<specifier>\.{1,2}\/[^"]+)"/g;

/**
 * The relative imports of a file, of types, too.
 *
 * @example
 * ```ts
 * readImports({ path: "src/core/a.ts", text: 'import "./b.ts";' });
 * // [{ from: "src/core/a.ts", to: "src/core/b.ts" }]
 * ```
 */
export function readImports({ path, text }: SourceFile): readonly ImportEdge[] {
  return [...text.matchAll(SPECIFIER)].map(({ groups }) => ({
    from: path,
    to: normalize(join(dirname(path), groups?.specifier ?? "")),
  }));
}

/**
 * Judges the imports of all files.
 *
 * @throws when a folder has no layer
 * @example
 * ```ts
 * const { upward, unused, cycles } = judgeLayers(files, EXCEPTIONS);
 * ```
 */
export function judgeLayers(
  files: readonly SourceFile[],
  exceptions: readonly LayerException[],
): LayerFindings {
  const edges = files.flatMap(readImports);
  const upward = edges.filter(({ from, to }) => layerOf(from) < layerOf(to));
  return {
    upward: upward.filter((edge) =>
      !exceptions.some((one) => allows(one, edge))
    ),
    unused: exceptions.filter((one) =>
      !upward.some((edge) => allows(one, edge))
    ),
    cycles: findCycles(edges),
  };
}

function allows(exception: LayerException, { from, to }: ImportEdge): boolean {
  const isFrom = from === exception.from || from.startsWith(exception.from);
  return isFrom && to === exception.to;
}

/** What lies outside `src` is above all that lies in it. */
function layerOf(path: string): number {
  const [root, folder, ...rest] = path.split("/");
  if (root !== "src" || folder === undefined) return LAYERS.length;
  const name = rest.length === 0 ? "." : folder;
  const layer = LAYERS.findIndex((folders) => folders.includes(name));
  if (layer < 0) throw new Error(`No layer is known for ${path}`);
  return layer;
}

function findCycles(
  edges: readonly ImportEdge[],
): readonly (readonly string[])[] {
  const importsOf = new Map<string, string[]>();
  for (const { from, to } of edges) {
    importsOf.set(from, [...importsOf.get(from) ?? [], to]);
  }
  const done = new Set<string>();
  const cycles: string[][] = [];
  const visit = (file: string, path: readonly string[]): void => {
    const start = path.indexOf(file);
    if (start >= 0) return void cycles.push([...path.slice(start), file]);
    if (done.has(file)) return;
    for (const next of importsOf.get(file) ?? []) visit(next, [...path, file]);
    done.add(file);
  };
  for (const file of importsOf.keys()) visit(file, []);
  return cycles;
}
