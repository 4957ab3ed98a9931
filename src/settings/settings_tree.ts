/**
 * The tree of hashes as a value: which record each path has. Whoever knows the
 * records knows every page and the root, byte for byte.
 *
 * @module
 */
import { hashOf, pageOf } from "./tree.ts";
import type { SettingsPage, SettingsRoot } from "./types.ts";

type Hashes = Readonly<Record<string, string>>;

/** A body and its hash. */
export interface HashedBody {
  readonly hash: string;
  readonly body: string;
}

/** Which record each path has. Never changed; `with` gives another tree. */
export class SettingsTree {
  /** A tree without paths. */
  static readonly EMPTY: SettingsTree = new SettingsTree({}, new Map());

  readonly #pageHashes: Hashes;
  readonly #pages: ReadonlyMap<string, Hashes>;

  private constructor(
    pageHashes: Hashes,
    pages: ReadonlyMap<string, Hashes>,
  ) {
    this.#pageHashes = pageHashes;
    this.#pages = pages;
  }

  /** Puts a tree together from a root and all its pages. */
  static fromPages(
    root: SettingsRoot,
    pages: ReadonlyMap<string, SettingsPage>,
  ): SettingsTree {
    const records = [...pages].map(([name, page]) =>
      [name, page.records] as const
    );
    return new SettingsTree(root.pages, new Map(records));
  }

  /** Paths in the tree. */
  get size(): number {
    let size = 0;
    for (const page of this.#pages.values()) size += Object.keys(page).length;
    return size;
  }

  /** Hash of the record of a path. */
  tryGet(path: string): string | undefined {
    return this.#pages.get(pageOf(path))?.[path];
  }

  /** Every path and the hash of its record. */
  *entries(): IterableIterator<readonly [path: string, record: string]> {
    for (const page of this.#pages.values()) yield* Object.entries(page);
  }

  /** Hash of the body of each page, by page. */
  get pageHashes(): Hashes {
    return this.#pageHashes;
  }

  /** The root's body. */
  createRoot(): HashedBody {
    return hashed({ pages: this.#pageHashes });
  }

  /** The body of the page that lists a path. */
  createPageOf(path: string): HashedBody {
    return hashed({ records: this.#pages.get(pageOf(path)) ?? {} });
  }

  /**
   * The tree in which a path has another record.
   *
   * @example
   * ```ts
   * const next = tree.with("/organisations/a", recordHash);
   * ```
   */
  with(path: string, record: string): SettingsTree {
    const name = pageOf(path);
    const page = sortKeys({ ...this.#pages.get(name), [path]: record });
    const { hash } = hashed({ records: page });
    return new SettingsTree(
      sortKeys({ ...this.#pageHashes, [name]: hash }),
      new Map(this.#pages).set(name, page),
    );
  }
}

function hashed(value: object): HashedBody {
  const body = JSON.stringify(value);
  return { hash: hashOf(body), body };
}

/** Order must not depend on history, or equal trees would differ in hash. */
function sortKeys(hashes: Hashes): Hashes {
  const entries = Object.entries(hashes);
  return Object.fromEntries(
    entries.sort(([left], [right]) => left < right ? -1 : 1),
  );
}
