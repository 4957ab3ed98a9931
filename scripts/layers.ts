/**
 * Defines the order of the folders in `src` and finds imports that violate it.
 *
 * @module
 */
import { dirname, join, normalize } from "node:path";

/**
 * Folders from the lowest to the highest layer. Folders of one layer may import each
 * other. `.` stands for the files directly in `src`.
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

/** An allowed import of a file in a higher layer by files in a lower one. */
export interface LayerException {
  /** File, or folder for all files in it. */
  readonly from: string;
  /** Imported file. */
  readonly to: string;
  readonly reason: string;
}

/** A source file. */
export interface SourceFile {
  /** Path from the root of the project, such as `src/core/debug.ts`. */
  readonly path: string;
  readonly text: string;
}

/** One import of a file by another. */
export interface ImportEdge {
  readonly from: string;
  readonly to: string;
}

/** Violations of the layers, and exceptions that are not needed. */
export interface LayerFindings {
  /** Imports from a higher layer that no exception allows. */
  readonly upward: readonly ImportEdge[];
  /** Exceptions that no import uses. */
  readonly unused: readonly LayerException[];
  /** Import cycles, each as the list of its files. */
  readonly cycles: readonly (readonly string[])[];
}

const SPECIFIER = /(?:\bfrom|\bimport)\s*\(?\s*"(?<specifier>\.{1,2}\/[^"]+)"/g;

/**
 * Returns the relative imports of a file, including imports of types.
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
 * Checks the imports of all files.
 *
 * @throws when a folder has no layer
 * @example
 * ```ts
 * const { upward, unused, cycles } = validateLayers(files, EXCEPTIONS);
 * ```
 */
export function validateLayers(
  files: readonly SourceFile[],
  exceptions: readonly LayerException[],
): LayerFindings {
  const edges = files.flatMap(readImports);
  const upward = edges.filter(({ from, to }) => getLayer(from) < getLayer(to));
  return {
    upward: upward.filter((edge) =>
      !exceptions.some((exception) => allows(exception, edge))
    ),
    unused: exceptions.filter((exception) =>
      !upward.some((edge) => allows(exception, edge))
    ),
    cycles: findCycles(edges),
  };
}

function allows(exception: LayerException, { from, to }: ImportEdge): boolean {
  const isFrom = from === exception.from || from.startsWith(exception.from);
  return isFrom && to === exception.to;
}

/** Returns the layer of a file. Files outside `src` are above all layers. */
function getLayer(path: string): number {
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
  const importsByFile = new Map<string, string[]>();
  for (const { from, to } of edges) {
    importsByFile.set(from, [...importsByFile.get(from) ?? [], to]);
  }
  const finished = new Set<string>();
  const cycles: string[][] = [];
  const visit = (file: string, path: readonly string[]): void => {
    const start = path.indexOf(file);
    if (start >= 0) return void cycles.push([...path.slice(start), file]);
    if (finished.has(file)) return;
    for (const next of importsByFile.get(file) ?? []) {
      visit(next, [...path, file]);
    }
    finished.add(file);
  };
  for (const file of importsByFile.keys()) visit(file, []);
  return cycles;
}
