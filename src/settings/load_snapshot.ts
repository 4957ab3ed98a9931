/**
 * Makes a snapshot of the settings from a head and a source of bodies. Nothing
 * is half applied: without every body there is no snapshot.
 *
 * @module
 */
import type { BodyCache, BodySource } from "./body_source.ts";
import { checkDocument } from "./check_document.ts";
import { SettingsTree } from "./settings_tree.ts";
import {
  tryParseHead,
  tryParsePage,
  tryParseRecord,
  tryParseRoot,
} from "./tree.ts";
import type {
  SettingsDocument,
  SettingsHead,
  SettingsPage,
  SettingsSnapshot,
} from "./types.ts";

/** Bodies that are asked for at the same time. */
const PARALLEL_READS = 16;

/** What a snapshot is made from. */
export interface LoadOptions {
  readonly headText: string;
  readonly bodies: BodyCache;
  /** The snapshot in force, whose documents need not be read again. */
  readonly current?: SettingsSnapshot;
}

/**
 * Makes a snapshot; undefined when the head or a body cannot be had or read.
 *
 * @example
 * ```ts
 * const next = await tryLoadSnapshot({ headText, bodies, current });
 * ```
 */
export async function tryLoadSnapshot(
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const head = tryParseHead(options.headText);
  if (head === undefined) return undefined;
  const tree = tryFollow(head, options) ?? await tryReadTree(head, options);
  if (tree === undefined) return undefined;
  return await tryReadDocuments(head, tree, options);
}

/**
 * The tree by the newest changes alone, if they reach back to the current
 * snapshot. Pages and root are made here, so that peers can be given them.
 */
function tryFollow(
  head: SettingsHead,
  options: LoadOptions,
): SettingsTree | undefined {
  const { current, bodies } = options;
  if (current === undefined) return undefined;
  const missing = head.revision - current.head.revision;
  if (missing < 0 || missing > head.recent.length) return undefined;
  const changes = head.recent
    .filter((change) => change.revision > current.head.revision)
    .sort((left, right) => left.revision - right.revision);
  const tree = changes.reduce(
    (before, change) => before.with(change.path, change.record),
    current.tree,
  );
  const root = tree.createRoot();
  if (root.hash !== head.root) return undefined;
  bodies.keep(root.hash, root.body);
  for (const change of changes) {
    const page = tree.createPageOf(change.path);
    bodies.keep(page.hash, page.body);
  }
  return tree;
}

async function tryReadTree(
  head: SettingsHead,
  options: LoadOptions,
): Promise<SettingsTree | undefined> {
  const rootText = await options.bodies.tryRead(head.root);
  const root = rootText === undefined ? undefined : tryParseRoot(rootText);
  if (root === undefined) return undefined;
  const names = Object.keys(root.pages);
  const texts = await readAll(Object.values(root.pages), options.bodies);
  const pages = new Map<string, SettingsPage>();
  for (const [index, name] of names.entries()) {
    const text = texts[index];
    const page = text === undefined ? undefined : tryParsePage(text);
    if (page === undefined) return undefined;
    pages.set(name, page);
  }
  return SettingsTree.fromPages(root, pages);
}

async function tryReadDocuments(
  head: SettingsHead,
  tree: SettingsTree,
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const { current, bodies, headText } = options;
  const documents = new Map<string, SettingsDocument>();
  const unreadable: string[] = [];
  const changed: (readonly [path: string, record: string])[] = [];
  for (const entry of tree.entries()) {
    const [path, hash] = entry;
    const old = current?.documents.get(path);
    if (current?.tree.tryGet(path) !== hash) changed.push(entry);
    else if (old !== undefined) documents.set(path, old);
  }
  const texts = await readAll(changed.map(([, hash]) => hash), bodies);
  for (const [index, [path]] of changed.entries()) {
    const text = texts[index];
    const record = text === undefined ? undefined : tryParseRecord(text);
    if (record === undefined || record.path !== path) return undefined;
    if (record.text === null) continue;
    const checked = checkDocument({ path, text: record.text, file: path });
    const old = current?.documents.get(path);
    if (checked.isOk()) documents.set(path, checked.value);
    else unreadable.push(path);
    if (checked.isErr() && old !== undefined) documents.set(path, old);
  }
  return { head, headText, tree, documents, unreadable };
}

async function readAll(
  hashes: readonly string[],
  bodies: BodySource,
): Promise<readonly (string | undefined)[]> {
  const texts: (string | undefined)[] = [];
  for (let start = 0; start < hashes.length; start += PARALLEL_READS) {
    const part = hashes.slice(start, start + PARALLEL_READS);
    texts.push(...await Promise.all(part.map((hash) => bodies.tryRead(hash))));
  }
  return texts;
}
