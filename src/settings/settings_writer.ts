/**
 * Accepts changes: writes the bodies, then replaces the head by compare-and-swap. A
 * change is accepted if and only if this swap succeeds.
 *
 * @module
 */
import type { KeyValueService } from "../external/key_value_service.ts";
import type { BodyCache } from "./body_source.ts";
import {
  BODY_KEY_PREFIX,
  getPageName,
  hashText,
  HEAD_KEY,
  RECENT_CHANGES,
  tryParseHead,
  tryParsePage,
  tryParseRecord,
  tryParseRoot,
} from "./tree.ts";
import { type HashedBody, SettingsTree } from "./settings_tree.ts";
import type { SettingsHead, SettingsRecord } from "./types.ts";

/**
 * Maximum number of attempts, as a swap fails if another path was changed meanwhile.
 */
const MAX_ATTEMPTS = 12;

/**
 * Maximum number of records of a path that are searched for a change whose reply was
 * lost.
 */
const MAX_HISTORY = 16;

/** A requested change. */
export interface ChangeRequest {
  readonly path: string;
  /** The YAML text, or null to remove the path. */
  readonly text: string | null;
  /** Identifies the change, which makes retries idempotent. */
  readonly changeId: string;
  /** Record that the change is based on; undefined: the one in force. */
  readonly baseRecord: string | null | undefined;
  readonly author: string;
  /** Wall-clock time, RFC 3339. */
  readonly at: string;
  /** Minimum revision of the service's head that the change may be based on. */
  readonly minRevision: number;
}

/** The change was accepted and will be in force everywhere. */
export interface ChangeAccepted {
  readonly kind: "accepted";
  readonly revision: number;
  readonly record: string;
  readonly headText: string;
}

/** Another change of the path was accepted; this one was not. */
export interface ChangeConflict {
  readonly kind: "conflict";
  readonly theirs: SettingsRecord | undefined;
}

/** The service was unreachable before the swap; the change was not accepted. */
export interface ChangeUnavailable {
  readonly kind: "unavailable";
  readonly cause: string;
}

/** The swap's reply was lost and its outcome is unknown; the change must be retried. */
export interface ChangeUnsettled {
  readonly kind: "unsettled";
  readonly cause: string;
}

/** The service's head is older than the one in force in this process. */
export interface ChangeBehind {
  readonly kind: "behind";
  readonly revision: number;
}

/** Outcome of a change. */
export type ChangeOutcome =
  | ChangeAccepted
  | ChangeConflict
  | ChangeUnavailable
  | ChangeUnsettled
  | ChangeBehind;

interface HeadEntry {
  readonly head: SettingsHead | undefined;
  readonly headText: string;
  /** Revision of the key in the service, not of the settings. */
  readonly keyRevision: number;
}

interface Proposal {
  readonly head: SettingsHead;
  readonly headText: string;
  readonly record: string;
}

interface WriteProgress {
  /** Whether the reply of a swap was lost. */
  mayHaveSwapped: boolean;
}

class WriteAborted extends Error {
  readonly outcome: ChangeOutcome;

  constructor(outcome: ChangeOutcome) {
    super(outcome.kind);
    this.outcome = outcome;
  }
}

/** Accepts changes of settings. */
export class SettingsWriter {
  readonly #service: KeyValueService;
  readonly #bodies: BodyCache;

  /** Creates a writer to `service` that caches the bodies that it reads in `bodies`. */
  constructor(service: KeyValueService, bodies: BodyCache) {
    this.#service = service;
    this.#bodies = bodies;
  }

  /**
   * Tries to write a change. Never throws.
   *
   * @example
   * ```ts
   * const outcome = await writer.write(change);
   * if (outcome.kind === "conflict") show(outcome.theirs);
   * ```
   */
  async write(change: ChangeRequest): Promise<ChangeOutcome> {
    const progress: WriteProgress = { mayHaveSwapped: false };
    try {
      return await this.#writeUntilSettled(change, progress);
    } catch (error) {
      if (error instanceof WriteAborted) return error.outcome;
      // If the reply of a swap was lost, a later failure leaves its outcome unknown.
      const kind = progress.mayHaveSwapped ? "unsettled" : "unavailable";
      return { kind, cause: String(error) };
    }
  }

  async #writeUntilSettled(
    change: ChangeRequest,
    progress: WriteProgress,
  ): Promise<ChangeOutcome> {
    let base = change.baseRecord;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const entry = await this.#readHead(change);
      const tree = await this.#readTree(entry, change.path);
      const currentRecord = tree.tryGet(change.path);
      const done = await this.#tryFindChange(change, entry, currentRecord);
      if (done !== undefined) return done;
      if (base === undefined) base = currentRecord ?? null;
      if (base !== (currentRecord ?? null)) {
        return await this.#conflict(currentRecord);
      }
      const proposal = await this.#propose(change, entry, tree);
      const swap = await this.#service.compareAndSwap(HEAD_KEY, {
        value: proposal.headText,
        expectedRevision: entry.keyRevision,
      });
      if (swap.kind === "swapped") return createAccepted(proposal);
      if (swap.kind === "unknown") progress.mayHaveSwapped = true;
    }
    throw new Error("Too many other changes at the same time");
  }

  async #readHead(change: ChangeRequest): Promise<HeadEntry> {
    const entry = await this.#readAnyHead();
    const revision = entry.head?.revision ?? 0;
    if (revision < change.minRevision) {
      throw new WriteAborted({ kind: "behind", revision });
    }
    return entry;
  }

  async #readAnyHead(): Promise<HeadEntry> {
    const entry = await this.#service.tryRead(HEAD_KEY);
    if (entry === undefined) {
      return { head: undefined, headText: "", keyRevision: 0 };
    }
    const head = tryParseHead(entry.value);
    if (head === undefined) throw new Error("The head cannot be read");
    return { head, headText: entry.value, keyRevision: entry.revision };
  }

  /**
   * Returns the result of an earlier attempt whose reply was lost, if it took effect.
   */
  async #tryFindChange(
    change: ChangeRequest,
    entry: HeadEntry,
    currentRecord: string | undefined,
  ): Promise<ChangeAccepted | undefined> {
    let hash: string | null = currentRecord ?? null;
    for (let depth = 0; hash !== null && depth < MAX_HISTORY; depth++) {
      const record: SettingsRecord = await this.#getRecord(hash);
      if (record.changeId === change.changeId) {
        return {
          kind: "accepted",
          revision: record.revision,
          record: hash,
          headText: entry.headText,
        };
      }
      if (change.baseRecord === hash) return undefined;
      hash = record.previous;
    }
    return undefined;
  }

  async #conflict(currentRecord: string | undefined): Promise<ChangeConflict> {
    const theirs = currentRecord === undefined
      ? undefined
      : await this.#getRecord(currentRecord);
    return { kind: "conflict", theirs };
  }

  async #propose(
    change: ChangeRequest,
    entry: HeadEntry,
    tree: SettingsTree,
  ): Promise<Proposal> {
    const revision = (entry.head?.revision ?? 0) + 1;
    const record = await this.#writeRecord({
      path: change.path,
      text: change.text,
      changeId: change.changeId,
      revision,
      author: change.author,
      at: change.at,
      previous: tree.tryGet(change.path) ?? null,
    });
    const root = await this.#writeTree(tree, change.path, record);
    const recent = [
      { revision, path: change.path, record },
      ...entry.head?.recent ?? [],
    ].slice(0, RECENT_CHANGES);
    const head: SettingsHead = { format: 1, revision, root, recent };
    return { head, headText: JSON.stringify(head), record };
  }

  async #writeTree(
    tree: SettingsTree,
    path: string,
    record: string,
  ): Promise<string> {
    const next = tree.with(path, record);
    await this.#writeHashed(next.createPage(path));
    const root = next.createRoot();
    await this.#writeHashed(root);
    return root.hash;
  }

  /**
   * Reads the part of the tree that a change of one path needs: its page and all page
   * hashes.
   */
  async #readTree(entry: HeadEntry, path: string): Promise<SettingsTree> {
    if (entry.head === undefined) return SettingsTree.EMPTY;
    const root = tryParseRoot(await this.#getBody(entry.head.root));
    if (root === undefined) throw new Error("The settings root is malformed");
    const name = getPageName(path);
    const hash = root.pages[name];
    if (hash === undefined) return SettingsTree.fromPages(root, new Map());
    const page = tryParsePage(await this.#getBody(hash));
    if (page === undefined) throw new Error("A settings page is malformed");
    return SettingsTree.fromPages(root, new Map([[name, page]]));
  }

  async #getRecord(hash: string): Promise<SettingsRecord> {
    const record = tryParseRecord(await this.#getBody(hash));
    if (record === undefined) throw new Error("A settings record is malformed");
    return record;
  }

  async #getBody(hash: string): Promise<string> {
    const body = await this.#bodies.tryRead(hash);
    if (body === undefined) throw new Error(`Body ${hash} is not available`);
    return body;
  }

  async #writeRecord(record: SettingsRecord): Promise<string> {
    const body = JSON.stringify(record);
    const hash = hashText(body);
    await this.#writeHashed({ hash, body });
    return hash;
  }

  /**
   * Writes a body. Bodies are immutable, so a conflict means that it was written
   * before.
   */
  async #writeHashed({ hash, body }: HashedBody): Promise<void> {
    // Cached bodies are written, too, as the service may have lost them in a restore.
    const outcome = await this.#service.compareAndSwap(BODY_KEY_PREFIX + hash, {
      value: body,
      expectedRevision: 0,
    });
    if (outcome.kind === "unknown") throw new Error(outcome.cause);
    this.#bodies.tryAdd(hash, body);
  }
}

function createAccepted(proposal: Proposal): ChangeAccepted {
  return {
    kind: "accepted",
    revision: proposal.head.revision,
    record: proposal.record,
    headText: proposal.headText,
  };
}
