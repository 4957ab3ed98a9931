/**
 * Makes a snapshot of the settings from a head and a source of bodies. Nothing
 * is half applied: without every body there is no snapshot.
 *
 * @module
 */
import type { BodySource } from "./body_source.ts";
import { checkDocument } from "./check_document.ts";
import {
  tryParseHead,
  tryParsePage,
  tryParseRecord,
  tryParseRoot,
} from "./tree.ts";
import type {
  SettingsDocument,
  SettingsHead,
  SettingsSnapshot,
} from "./types.ts";

/** Bodies that are asked for at the same time. */
const PARALLEL_READS = 16;

/** What a snapshot is made from. */
export interface LoadOptions {
  readonly headText: string;
  readonly bodies: BodySource;
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
  const records = await tryRecordsOf(head, options);
  if (records === undefined) return undefined;
  return await tryReadDocuments(head, records, options);
}

/**
 * The record of each path: from the newest changes where they reach back to
 * the current snapshot, otherwise from the tree.
 */
async function tryRecordsOf(
  head: SettingsHead,
  options: LoadOptions,
): Promise<ReadonlyMap<string, string> | undefined> {
  const { current, bodies } = options;
  if (current !== undefined && reachesBackTo(head, current.head.revision)) {
    return applyRecent(head, current);
  }
  const rootText = await bodies.tryRead(head.root);
  const root = rootText === undefined ? undefined : tryParseRoot(rootText);
  if (root === undefined) return undefined;
  const records = new Map<string, string>();
  const hashes = Object.values(root.pages);
  const texts = await readAll(hashes, bodies);
  for (const text of texts) {
    const page = text === undefined ? undefined : tryParsePage(text);
    if (page === undefined) return undefined;
    for (const [path, hash] of Object.entries(page.records)) {
      records.set(path, hash);
    }
  }
  return records;
}

function reachesBackTo(head: SettingsHead, revision: number): boolean {
  const missing = head.revision - revision;
  return missing >= 0 && missing <= head.recent.length;
}

function applyRecent(
  head: SettingsHead,
  current: SettingsSnapshot,
): ReadonlyMap<string, string> {
  const records = new Map(current.records);
  const changes = head.recent
    .filter((change) => change.revision > current.head.revision)
    .sort((left, right) => left.revision - right.revision);
  for (const change of changes) records.set(change.path, change.record);
  return records;
}

async function tryReadDocuments(
  head: SettingsHead,
  records: ReadonlyMap<string, string>,
  options: LoadOptions,
): Promise<SettingsSnapshot | undefined> {
  const documents = new Map<string, SettingsDocument>();
  const unreadable: string[] = [];
  const changed: string[] = [];
  for (const [path, hash] of records) {
    const old = options.current?.documents.get(path);
    const isSame = options.current?.records.get(path) === hash;
    if (!isSame) changed.push(path);
    else if (old !== undefined) documents.set(path, old);
  }
  const hashes = changed.map((path) => records.get(path) as string);
  const texts = await readAll(hashes, options.bodies);
  for (const [index, path] of changed.entries()) {
    const text = texts[index];
    const record = text === undefined ? undefined : tryParseRecord(text);
    if (record === undefined || record.path !== path) return undefined;
    if (record.text === null) continue;
    const checked = checkDocument({ path, text: record.text, file: path });
    const old = options.current?.documents.get(path);
    if (checked.isOk()) documents.set(path, checked.value);
    else unreadable.push(path);
    if (checked.isErr() && old !== undefined) documents.set(path, old);
  }
  return {
    head,
    headText: options.headText,
    records,
    documents,
    unreadable,
  };
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
