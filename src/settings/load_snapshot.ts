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
import type { SettingsHead, SettingsPage, SettingsRecord } from "./types.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import type { SettingsSnapshot } from "./snapshot.ts";

/** Bodies that are asked for one by one at the same time. */
const PARALLEL_READS = 16;
/** Bodies that are asked for in one message. */
const BULK_READS = 256;

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
  return await tryFollow(head, options) ?? await tryLoadWhole(head, options);
}

/**
 * By the newest changes alone, if they reach back to the current snapshot: the
 * work grows with the changes, not with the settings. Pages and root are made
 * here, so that peers can be given them.
 */
async function tryFollow(
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
  // Nothing has been changed so far; from here on nothing waits or fails.
  exchangeBodies(current.tree, tree, { changed, bodies });
  const { documents, unreadable } = createDocuments(records, current);
  return { head, headText, tree, documents, changed, unreadable };
}

/** Drops the bodies that the changes replaced, and keeps the new ones. */
function exchangeBodies(
  before: SettingsTree,
  after: SettingsTree,
  options: {
    readonly changed: readonly string[];
    readonly bodies: BodyCache;
  },
): void {
  const { changed, bodies } = options;
  bodies.drop(before.createRoot().hash);
  for (const path of changed) {
    bodies.drop(before.createPageOf(path).hash);
    bodies.drop(before.tryGet(path));
  }
  const kept = [
    after.createRoot(),
    ...changed.map((path) => after.createPageOf(path)),
  ];
  for (const { hash, body } of kept) bodies.keep(hash, body);
}

async function tryLoadWhole(
  head: SettingsHead,
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const { bodies, headText, current } = options;
  const tree = await tryReadTree(head, bodies);
  if (tree === undefined) return undefined;
  const paths = [...tree.entries()].map(([path]) => path);
  const records = await tryReadRecords(paths, { tree, bodies });
  if (records === undefined) return undefined;
  const { documents, unreadable } = createDocuments(records, {
    documents: new Map(),
    older: current?.documents,
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

/** The records of paths, in their order; undefined when one cannot be had. */
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

interface DocumentsBefore {
  /** Taken over and changed. */
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  /** Where the old document of an unreadable path is, if not there. */
  readonly older?: ReadonlyMap<string, SettingsDocument>;
  readonly unreadable?: readonly string[];
}

/** A document that this version cannot read leaves the old one in force. */
function createDocuments(
  records: readonly SettingsRecord[],
  before: DocumentsBefore,
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
    const old = before.older?.get(path);
    if (old !== undefined) documents.set(path, old);
  }
  return { documents, unreadable: [...unreadable] };
}

async function readAll(
  hashes: readonly string[],
  bodies: BodyCache,
): Promise<readonly (string | undefined)[]> {
  const texts: (string | undefined)[] = [];
  for (let start = 0; start < hashes.length; start += BULK_READS) {
    await bodies.prefetch(hashes.slice(start, start + BULK_READS));
    texts.push(
      ...await readEach(hashes.slice(start, start + BULK_READS), bodies),
    );
  }
  return texts;
}

async function readEach(
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
