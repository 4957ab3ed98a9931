/**
 * Updates of the platform's store for other entries: what this entry knows and the
 * receiver does not.
 *
 * @module
 */
import type { Directory } from "../directory_follower.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import type {
  DrainSet,
  KnownVersions,
  ProcessUpdate,
  StoreUpdateMessage,
} from "../../messages/peer_types.ts";

/** The state of the store as known to an entry. */
export interface KnownStoreState {
  /** Whether the store answers this entry, or the reader that it follows. */
  readonly isReading: boolean;
  readonly settings: SettingsInUse | undefined;
  /** When the store was last queried for newer settings, in milliseconds. */
  readonly settingsCheckedAt: number;
  /** The drains in the store; undefined until they were read. */
  readonly drains?: DrainSet;
  readonly directory: Directory | undefined;
  readonly processes: ProcessUpdate;
}

/** An update of the store, without replicated state. */
export type StoreUpdate = Omit<StoreUpdateMessage, "memories">;

/**
 * Creates an update with what the receiver does not know yet; `now` is in milliseconds.
 *
 * @example
 * ```ts
 * const update = createStoreUpdate(state, { settingsVersion: 3 }, now);
 * ```
 */
export function createStoreUpdate(
  state: KnownStoreState,
  known: KnownVersions,
  now: number,
): StoreUpdate {
  const { isReading, settings, settingsCheckedAt, directory } = state;
  const { processes, drains } = state;
  const isListNew = directory?.content !== known.directoryContent;
  return {
    kind: "store_news",
    isReading,
    settingsText: hasNewerSettings(state, known) ? settings?.text : undefined,
    settingsAgeMs: Number.isFinite(settingsCheckedAt)
      ? Math.max(0, now - settingsCheckedAt)
      : undefined,
    drains: hasNewerDrains(state, known) ? drains : undefined,
    directory: directory && Number.isFinite(directory.askedAt)
      ? {
        revision: directory.revision,
        ageMs: Math.max(0, now - directory.askedAt),
        content: directory.content,
        instances: isListNew ? directory.instances : undefined,
      }
      : undefined,
    processes: hasNewerProcesses(state, known) ? processes : undefined,
  };
}

/** Returns whether the state contains anything that a receiver does not know. */
export function hasUpdate(
  state: KnownStoreState,
  known: KnownVersions,
): boolean {
  const { directory } = state;
  return hasNewerSettings(state, known) ||
    hasNewerProcesses(state, known) ||
    hasNewerDrains(state, known) ||
    (directory !== undefined && directory.content !== known.directoryContent);
}

/** Returns whether the settings are newer than those of a receiver. */
export function hasNewerSettings(
  { settings }: KnownStoreState,
  { settingsVersion }: KnownVersions,
): boolean {
  return settings !== undefined &&
    settings.settings.version > (settingsVersion ?? -1);
}

function hasNewerProcesses(
  { processes }: KnownStoreState,
  { processesRevision }: KnownVersions,
): boolean {
  return processesRevision !== undefined &&
    processes.revision > processesRevision;
}

function hasNewerDrains(
  { drains }: KnownStoreState,
  { drainsRevision }: KnownVersions,
): boolean {
  return drains !== undefined && drains.revision > (drainsRevision ?? -1);
}

/** Returns what a receiver knows after it received an update. */
export function mergeKnown(
  { settings, directory, processes, drains }: KnownStoreState,
  known: KnownVersions,
): KnownVersions {
  return {
    settingsVersion: settings?.settings.version ?? known.settingsVersion,
    directoryContent: directory?.content ?? known.directoryContent,
    processesRevision: known.processesRevision === undefined
      ? undefined
      : Math.max(processes.revision, known.processesRevision),
    drainsRevision: drains === undefined
      ? known.drainsRevision
      : Math.max(drains.revision, known.drainsRevision ?? 0),
  };
}
