/**
 * The settings tree as an immutable value, which maps each path to its record. The
 * records determine every page and the root, byte for byte.
 *
 * @module
 */
import { getPageName, hashText } from "./tree.ts";
import type { SettingsPage, SettingsRoot } from "./types.ts";

type Hashes = Readonly<Record<string, string>>;

/** A body and its hash. */
export interface HashedBody {
  readonly hash: string;
  readonly body: string;
}

/** Maps each path to the hash of its record. Immutable; `with` returns a new tree. */
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

  /** Creates a tree from a root and its pages. */
  static fromPages(
    root: SettingsRoot,
    pages: ReadonlyMap<string, SettingsPage>,
  ): SettingsTree {
    const records = [...pages].map(([name, page]) =>
      [name, page.records] as const
    );
    return new SettingsTree(root.pages, new Map(records));
  }

  /** Number of paths in the tree. */
  get size(): number {
    let size = 0;
    for (const page of this.#pages.values()) size += Object.keys(page).length;
    return size;
  }

  /** Returns the hash of the record of a path. */
  tryGet(path: string): string | undefined {
    return this.#pages.get(getPageName(path))?.[path];
  }

  /** Iterates over all paths and the hashes of their records. */
  *entries(): IterableIterator<readonly [path: string, record: string]> {
    for (const page of this.#pages.values()) yield* Object.entries(page);
  }

  /** Hashes of the pages' bodies, by page name. */
  get pageHashes(): Hashes {
    return this.#pageHashes;
  }

  /** Creates the body of the root. */
  createRoot(): HashedBody {
    return createHashedBody({ pages: this.#pageHashes });
  }

  /** Creates the body of the page that contains a path. */
  createPage(path: string): HashedBody {
    return createHashedBody({
      records: this.#pages.get(getPageName(path)) ?? {},
    });
  }

  /**
   * Returns a tree in which a path has another record.
   *
   * @example
   * ```ts
   * const next = tree.with("/organisations/a", recordHash);
   * ```
   */
  with(path: string, record: string): SettingsTree {
    const name = getPageName(path);
    const page = sortKeys({ ...this.#pages.get(name), [path]: record });
    const { hash } = createHashedBody({ records: page });
    return new SettingsTree(
      sortKeys({ ...this.#pageHashes, [name]: hash }),
      new Map(this.#pages).set(name, page),
    );
  }
}

function createHashedBody(value: object): HashedBody {
  const body = JSON.stringify(value);
  return { hash: hashText(body), body };
}

/**
 * Sorts by key, so that equal trees have equal hashes regardless of the order of their
 * changes.
 */
function sortKeys(hashes: Hashes): Hashes {
  const entries = Object.entries(hashes);
  return Object.fromEntries(
    entries.sort(([left], [right]) => left < right ? -1 : 1),
  );
}
