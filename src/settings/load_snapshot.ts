/**
 * Loads a snapshot of the settings from a head and a source of bodies. Without every
 * body there is no snapshot, so settings are never applied partially.
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
import type { SettingsHead, SettingsPage, SettingsRecord } from "./types.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import type { SettingsSnapshot } from "./snapshot.ts";

/** Maximum number of concurrent reads of single bodies. */
const CONCURRENT_READS = 16;
/** Number of bodies that are requested in one message. */
const BULK_READ_SIZE = 256;

/** Input of {@link tryLoadSnapshot}. */
export interface LoadOptions {
  readonly headText: string;
  readonly bodies: BodyCache;
  /** The snapshot in force, from which unchanged documents are reused. */
  readonly current?: SettingsSnapshot;
}

/**
 * Loads a snapshot; undefined if the head or a body is unavailable or malformed.
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
  return await tryApplyRecentChanges(head, options) ??
    await tryLoadTree(head, options);
}

/**
 * Loads only the most recent changes, if they reach back to the current snapshot. The
 * cost depends on the number of changes, not on the size of the settings. The pages and
 * the root are created here, so that they can be sent to peers.
 */
async function tryApplyRecentChanges(
  head: SettingsHead,
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const { current, bodies, headText } = options;
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
  if (tree.createRoot().hash !== head.root) return undefined;
  const changed = [...new Set(changes.map((change) => change.path))];
  const records = await tryReadRecords(changed, { tree, bodies });
  if (records === undefined) return undefined;
  // No state was changed so far. The rest is synchronous and can't fail.
  replaceCachedBodies(current.tree, tree, { changed, bodies });
  const { documents, unreadable } = applyRecords(records, current);
  return { head, headText, tree, documents, changed, unreadable };
}

/**
 * Removes the bodies that the changes replaced from the cache and adds the new ones.
 */
function replaceCachedBodies(
  before: SettingsTree,
  after: SettingsTree,
  options: {
    readonly changed: readonly string[];
    readonly bodies: BodyCache;
  },
): void {
  const { changed, bodies } = options;
  bodies.remove(before.createRoot().hash);
  for (const path of changed) {
    bodies.remove(before.createPage(path).hash);
    bodies.remove(before.tryGet(path));
  }
  const replacements = [
    after.createRoot(),
    ...changed.map((path) => after.createPage(path)),
  ];
  for (const { hash, body } of replacements) bodies.tryAdd(hash, body);
}

async function tryLoadTree(
  head: SettingsHead,
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const { bodies, headText, current } = options;
  const tree = await tryReadTree(head, bodies);
  if (tree === undefined) return undefined;
  const paths = [...tree.entries()].map(([path]) => path);
  const records = await tryReadRecords(paths, { tree, bodies });
  if (records === undefined) return undefined;
  const { documents, unreadable } = applyRecords(records, {
    documents: new Map(),
    fallback: current?.documents,
  });
  const changed = undefined;
  return { head, headText, tree, documents, changed, unreadable };
}

async function tryReadTree(
  head: SettingsHead,
  bodies: BodyCache,
): Promise<SettingsTree | undefined> {
  const rootText = await bodies.tryRead(head.root);
  const root = rootText === undefined ? undefined : tryParseRoot(rootText);
  if (root === undefined) return undefined;
  const names = Object.keys(root.pages);
  const texts = await readAll(Object.values(root.pages), bodies);
  const pages = new Map<string, SettingsPage>();
  for (const [index, name] of names.entries()) {
    const text = texts[index];
    const page = text === undefined ? undefined : tryParsePage(text);
    if (page === undefined) return undefined;
    pages.set(name, page);
  }
  return SettingsTree.fromPages(root, pages);
}

/** Reads the records of paths, in their order; undefined if one is unavailable. */
async function tryReadRecords(
  paths: readonly string[],
  options: { readonly tree: SettingsTree; readonly bodies: BodyCache },
): Promise<readonly SettingsRecord[] | undefined> {
  const hashes = paths.map((path) => options.tree.tryGet(path) ?? "");
  const texts = await readAll(hashes, options.bodies);
  const records: SettingsRecord[] = [];
  for (const [index, text] of texts.entries()) {
    const record = text === undefined ? undefined : tryParseRecord(text);
    if (record === undefined || record.path !== paths[index]) return undefined;
    records.push(record);
  }
  return records;
}

interface PreviousDocuments {
  /** Reused and modified. */
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  /** Documents that stay in force for unreadable paths, if not in `documents`. */
  readonly fallback?: ReadonlyMap<string, SettingsDocument>;
  readonly unreadable?: readonly string[];
}

/**
 * Applies records to the documents. The previous document stays in force if this
 * version cannot read the new one.
 */
function applyRecords(
  records: readonly SettingsRecord[],
  before: PreviousDocuments,
): {
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  readonly unreadable: readonly string[];
} {
  const documents = before.documents as Map<string, SettingsDocument>;
  const unreadable = new Set(before.unreadable);
  for (const { path, text } of records) {
    unreadable.delete(path);
    if (text === null) {
      documents.delete(path);
      continue;
    }
    const checked = checkDocument({ path, text, file: path });
    if (checked.isOk()) {
      documents.set(path, checked.value);
      continue;
    }
    unreadable.add(path);
    const fallbackDocument = before.fallback?.get(path);
    if (fallbackDocument !== undefined) documents.set(path, fallbackDocument);
  }
  return { documents, unreadable: [...unreadable] };
}

async function readAll(
  hashes: readonly string[],
  bodies: BodyCache,
): Promise<readonly (string | undefined)[]> {
  const texts: (string | undefined)[] = [];
  for (let start = 0; start < hashes.length; start += BULK_READ_SIZE) {
    await bodies.prefetch(hashes.slice(start, start + BULK_READ_SIZE));
    texts.push(
      ...await readEach(hashes.slice(start, start + BULK_READ_SIZE), bodies),
    );
  }
  return texts;
}

async function readEach(
  hashes: readonly string[],
  bodies: BodySource,
): Promise<readonly (string | undefined)[]> {
  const texts: (string | undefined)[] = [];
  for (let start = 0; start < hashes.length; start += CONCURRENT_READS) {
    const batch = hashes.slice(start, start + CONCURRENT_READS);
    texts.push(...await Promise.all(batch.map((hash) => bodies.tryRead(hash))));
  }
  return texts;
}
