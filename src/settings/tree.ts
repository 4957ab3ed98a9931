/**
 * The stored settings tree, a hash tree: head, root, pages and records. Bodies are
 * stored under their hash and are immutable; only the head is replaced.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as z from "zod";
import type {
  SettingsHead,
  SettingsPage,
  SettingsRecord,
  SettingsRoot,
} from "./types.ts";

/** Key of the head in the key-value service. */
export const HEAD_KEY = "lagoonwharf/settings/head";

/** Prefix of the keys of bodies. */
export const BODY_KEY_PREFIX = "lagoonwharf/settings/body/";

/**
 * Number of recent changes in the head, with which followers can update without reading
 * the tree.
 */
export const RECENT_CHANGES = 16;

const HASH = z.string().regex(/^[0-9a-f]{64}$/);

const HEAD_SCHEMA: z.ZodType<SettingsHead> = z.object({
  format: z.literal(1),
  revision: z.number().int().positive(),
  root: HASH,
  recent: z.array(z.object({
    revision: z.number().int().positive(),
    path: z.string(),
    record: HASH,
  })),
});
const ROOT_SCHEMA: z.ZodType<SettingsRoot> = z.object({
  pages: z.record(z.string(), HASH),
});
const PAGE_SCHEMA: z.ZodType<SettingsPage> = z.object({
  records: z.record(z.string(), HASH),
});
const RECORD_SCHEMA: z.ZodType<SettingsRecord> = z.object({
  path: z.string(),
  text: z.string().nullable(),
  changeId: z.string(),
  revision: z.number().int().positive(),
  author: z.string(),
  at: z.string(),
  previous: HASH.nullable(),
});

/** Returns the SHA-256 of a text in hexadecimal. */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Returns the name of the page that contains a path: one of 256, by the first byte of
 * the path's hash.
 */
export function getPageName(path: string): string {
  return hashText(path).slice(0, 2);
}

/** Parses a head; undefined if this version cannot read it. */
export function tryParseHead(text: string): SettingsHead | undefined {
  return tryParse(HEAD_SCHEMA, text);
}

/** Parses a root; undefined if it is malformed. */
export function tryParseRoot(text: string): SettingsRoot | undefined {
  return tryParse(ROOT_SCHEMA, text);
}

/** Parses a page; undefined if it is malformed. */
export function tryParsePage(text: string): SettingsPage | undefined {
  return tryParse(PAGE_SCHEMA, text);
}

/** Parses a record; undefined if it is malformed. */
export function tryParseRecord(text: string): SettingsRecord | undefined {
  return tryParse(RECORD_SCHEMA, text);
}

function tryParse<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
