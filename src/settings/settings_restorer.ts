/**
 * Writes accepted settings back into a key-value service that was restored from an
 * older copy, so that they are not lost.
 *
 * @module
 */
import type { KeyValueService } from "../external/key_value_service.ts";
import type { BodyCache } from "./body_source.ts";
import {
  BODY_KEY_PREFIX,
  HEAD_KEY,
  tryParseHead,
  tryParseRecord,
} from "./tree.ts";
import { getReachableHashes } from "./reachable.ts";
import type { SettingsSnapshot } from "./snapshot.ts";

/** The settings in force were written back. */
export interface RestoreDone {
  readonly kind: "restored";
}

/** The service is not behind, or was changed meanwhile. */
export interface RestoreNotNeeded {
  readonly kind: "not_needed";
}

/**
 * The service has accepted other changes since its restore; an operator must resolve
 * the conflict.
 */
export interface RestoreForked {
  readonly kind: "forked";
  readonly revision: number;
}

/** The service or a body was unavailable. */
export interface RestoreUnavailable {
  readonly kind: "unavailable";
}

/** Outcome of an attempt to write settings back. */
export type RestoreOutcome =
  | RestoreDone
  | RestoreNotNeeded
  | RestoreForked
  | RestoreUnavailable;

const MAX_HISTORY = 1000;

/** Writes accepted settings back into the key-value service. */
export class SettingsRestorer {
  readonly #service: KeyValueService;
  readonly #bodies: BodyCache;

  /** Creates a restorer that writes the bodies in `bodies` to `service`. */
  constructor(service: KeyValueService, bodies: BodyCache) {
    this.#service = service;
    this.#bodies = bodies;
  }

  /**
   * Writes the snapshot's bodies and head if the service's head is older and belongs to
   * the same history. Never throws.
   *
   * @example
   * ```ts
   * const outcome = await restorer.restore(snapshot);
   * ```
   */
  async restore(snapshot: SettingsSnapshot): Promise<RestoreOutcome> {
    try {
      return await this.#restore(snapshot);
    } catch {
      return { kind: "unavailable" };
    }
  }

  async #restore(snapshot: SettingsSnapshot): Promise<RestoreOutcome> {
    const entry = await this.#service.tryRead(HEAD_KEY);
    const storedHead = entry === undefined
      ? undefined
      : tryParseHead(entry.value);
    if (entry !== undefined && storedHead === undefined) {
      return { kind: "unavailable" };
    }
    if (
      storedHead !== undefined && storedHead.revision >= snapshot.head.revision
    ) {
      return { kind: "not_needed" };
    }
    const lastChange = storedHead?.recent[0];
    if (
      lastChange !== undefined && !await this.#isInHistory(lastChange, snapshot)
    ) {
      return { kind: "forked", revision: lastChange.revision };
    }
    await this.#writeBodies(snapshot);
    const swap = await this.#service.compareAndSwap(HEAD_KEY, {
      value: snapshot.headText,
      expectedRevision: entry?.revision ?? 0,
    });
    if (swap.kind === "swapped") return { kind: "restored" };
    return { kind: swap.kind === "conflict" ? "not_needed" : "unavailable" };
  }

  async #isInHistory(
    change: { readonly path: string; readonly record: string },
    snapshot: SettingsSnapshot,
  ): Promise<boolean> {
    let hash = snapshot.tree.tryGet(change.path) ?? null;
    for (let depth = 0; hash !== null && depth < MAX_HISTORY; depth++) {
      if (hash === change.record) return true;
      const text = await this.#bodies.tryRead(hash);
      const record = text === undefined ? undefined : tryParseRecord(text);
      hash = record?.previous ?? null;
    }
    return false;
  }

  async #writeBodies(snapshot: SettingsSnapshot): Promise<void> {
    for (const hash of getReachableHashes(snapshot)) {
      const value = await this.#bodies.tryRead(hash);
      if (value === undefined) throw new Error(`Body ${hash} is not available`);
      const outcome = await this.#service.compareAndSwap(
        BODY_KEY_PREFIX + hash,
        { value, expectedRevision: 0 },
      );
      if (outcome.kind === "unknown") throw new Error(outcome.cause);
    }
  }
}
