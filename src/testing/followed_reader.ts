/**
 * Simulates an entry that reads the platform's store for the others of its failure
 * domain, in virtual time. All of its connections share one link of limited capacity.
 *
 * @module
 */
import { readSettingsText } from "../direct/peers/compressed_settings.ts";
import {
  type FollowerLink,
  FollowerUpdates,
} from "../direct/peers/follower_updates.ts";
import { ReplicatedState } from "../direct/peers/replicated_state.ts";
import type { SettingsInUse } from "../direct/settings_follower.ts";
import { EventLog } from "../events/event_log.ts";
import { decodeFrame, encodeFrame } from "../messages/codec.ts";
import type { StoreUpdateMessage } from "../messages/peer_types.ts";
import { EventQueue } from "./event_queue.ts";
import { createOperatorSettings } from "./fixtures.ts";

const BITS_PER_BYTE = 8;
/** Milliseconds between two queries of a follower. */
const QUERY_INTERVAL_MS = 250;
const LATENCY_MS = 1;

/** Options of a {@link FollowedReader}. */
export interface FollowedReaderOptions {
  readonly followers: number;
  /** Capacity of the reader's link in megabits per second. */
  readonly linkMegabitsPerSecond: number;
}

/** A follower of the reader. */
interface Follower {
  readonly link: FollowerLink;
  /** Version of its settings. */
  version: number;
}

/** Results of a run. */
export interface FollowedReaderResult {
  /**
   * Maximum milliseconds from a version's arrival at the reader until each follower has
   * it or a newer one.
   */
  readonly maxDelayMs: number;
  readonly sentBytes: number;
}

/** A link whose connections are served in the order of their messages. */
class SharedLink {
  readonly #queue: EventQueue;
  readonly #bytesPerMs: number;
  #freeAt = 0;
  sentBytes = 0;

  constructor(queue: EventQueue, megabitsPerSecond: number) {
    this.#queue = queue;
    this.#bytesPerMs = megabitsPerSecond * 1000 / BITS_PER_BYTE;
  }

  /** Calls `onSent` as soon as the last byte has left. */
  send(bytes: number, onSent: () => void): void {
    this.sentBytes += bytes;
    this.#freeAt = Math.max(this.#freeAt, this.#queue.now) +
      bytes / this.#bytesPerMs;
    this.#queue.after(this.#freeAt - this.#queue.now, onSent);
  }
}

/** An entry whose followers get its settings over one link. */
export class FollowedReader {
  readonly #queue = new EventQueue();
  readonly #shared: SharedLink;
  readonly #updates: FollowerUpdates;
  readonly #followers: readonly Follower[];
  /** Versions with the time of their arrival at the reader. */
  readonly #arrivals = new Map<number, number>();
  #settings: SettingsInUse | undefined;
  #maxDelayMs = 0;

  /** Connects the followers; each queries the reader at its own time. */
  constructor({ followers, linkMegabitsPerSecond }: FollowedReaderOptions) {
    this.#shared = new SharedLink(this.#queue, linkMegabitsPerSecond);
    this.#updates = new FollowerUpdates({
      log: new EventLog({ role: "entry", processName: "reader" }),
      getTime: () => this.#queue.now,
      getStoreState: () => ({
        isReading: true,
        settings: this.#settings,
        settingsCheckedAt: this.#queue.now,
        directory: undefined,
        processes: { revision: 0, processes: [] },
      }),
      replicatedState: createEmptyReplicatedState(),
    });
    this.#followers = Array.from(
      { length: followers },
      (_, index) => this.#createFollower(index * QUERY_INTERVAL_MS / followers),
    );
  }

  /** A version arrives at the reader at a virtual time in milliseconds. */
  arriveAt(atMs: number, version: number, text: string): void {
    this.#queue.after(atMs, () => {
      this.#arrivals.set(version, this.#queue.now);
      this.#settings = { settings: createOperatorSettings(version), text };
      this.#updates.send();
    });
  }

  /** Runs up to a virtual time, by which all followers must have the last version. */
  run(untilMs: number): FollowedReaderResult {
    this.#queue.runUntil(untilMs);
    const last = Math.max(...this.#arrivals.keys());
    const isComplete = this.#followers.every(({ version }) => version === last);
    return {
      maxDelayMs: isComplete ? this.#maxDelayMs : Number.POSITIVE_INFINITY,
      sentBytes: this.#shared.sentBytes,
    };
  }

  #createFollower(firstQueryMs: number): Follower {
    let bufferedBytes = 0;
    const follower: Follower = {
      version: 0,
      link: {
        get bufferedBytes() {
          return bufferedBytes;
        },
        send: (message) => {
          const frame = encodeFrame([message]);
          bufferedBytes += frame.length;
          this.#shared.send(frame.length, () => {
            bufferedBytes -= frame.length;
            this.#queue.after(
              LATENCY_MS,
              () => this.#receive(follower, frame),
            );
          });
        },
      },
    };
    this.#updates.add(follower.link);
    this.#queue.after(firstQueryMs, () => this.#query(follower));
    return follower;
  }

  #query(follower: Follower): void {
    this.#queue.after(QUERY_INTERVAL_MS, () => this.#query(follower));
    this.#updates.answer(follower.link, {
      kind: "store_news_query",
      queryId: 1,
      settingsVersion: follower.version,
      isFollowing: true,
      acceptsCompression: true,
      memories: {},
    });
  }

  #receive(follower: Follower, frame: Uint8Array): void {
    for (const message of decodeFrame(frame).unwrap()) {
      if (message.kind !== "store_news") continue;
      const version = tryReadVersion(message);
      if (version === undefined) continue;
      this.#recordDelays(follower.version, version);
      follower.version = Math.max(follower.version, version);
    }
  }

  #recordDelays(before: number, version: number): void {
    for (const [arrived, at] of this.#arrivals) {
      if (arrived <= before || arrived > version) continue;
      this.#maxDelayMs = Math.max(this.#maxDelayMs, this.#queue.now - at);
    }
  }
}

function tryReadVersion(update: StoreUpdateMessage): number | undefined {
  const text = readSettingsText(update).unwrap();
  return text === undefined ? undefined : JSON.parse(text).version;
}

/** Creates the replicated state of an entry that has none. */
export function createEmptyReplicatedState(): ReplicatedState {
  const section = { content: "", list: () => [] };
  return new ReplicatedState({
    crashes: section,
    limits: section,
    leaving: section,
    onCrashes: () => undefined,
    onLimits: () => undefined,
    onLeaving: () => undefined,
  });
}
