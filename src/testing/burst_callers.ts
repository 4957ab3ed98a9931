/**
 * Simulates callers of three priorities and many organisations, in virtual time. A caller
 * retries once after a refusal, and disconnects when no chunk arrives in time.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { RandomSource } from "../core/random_source.ts";
import type { CallerRequest, EntryEffect } from "../entry/types.ts";
import {
  type Burst,
  type CallOutcome,
  DEADLINE_MS,
  type EndedCall,
  KINDS,
  OBJECTIVE_MS,
  ORGANISATIONS,
  PAUSE_OBJECTIVE_MS,
} from "./burst_types.ts";
import type { EventQueue } from "./event_queue.ts";

/** Milliseconds after which a caller disconnects if it has received no chunk. */
const SILENCE_LIMIT_MS = 2000;
/**
 * Callers honour a retry delay up to this fraction of the time left until their deadline.
 */
const HONOURED_FRACTION = 1 / 3;
const MS_PER_SECOND = 1000;
/** Fractions of all requests that the two large organisations send. */
const LARGE_SHARES = [1 / 3, 1 / 6] as const;

/** A caller's request that has not ended. */
interface Call {
  readonly kind: number;
  readonly organisation: number;
  readonly sentAt: number;
  hasRetried: boolean;
  firstChunkMs: number | undefined;
  lastChunkAt: number;
  longestPauseMs: number;
}

/** Options of {@link BurstCallers}. */
export interface BurstCallersOptions {
  readonly events: EventQueue;
  readonly random: RandomSource;
  readonly perSecond: number;
  readonly burst: Burst;
  /** Sends a request to one of the entries. */
  readonly send: (request: CallerRequest) => void;
  /** Called when the caller closes its connection. */
  readonly disconnect: (requestId: number) => void;
}

/** Returns a made-up SHA-256 of an organisation's access key, in hexadecimal. */
export function getAccessKeyHash(organisation: number): string {
  return organisation.toString(16).padStart(64, "0");
}

/** Callers that send requests at random intervals in virtual time. */
export class BurstCallers {
  readonly endedCalls: EndedCall[] = [];
  readonly #options: BurstCallersOptions;
  /** Current calls by the id of their request. */
  readonly #calls = new Map<number, Call>();
  #lastId = 0;

  /** Starts sending requests immediately. */
  constructor(options: BurstCallersOptions) {
    this.#options = options;
    for (const kind of KINDS.keys()) this.#scheduleNext(kind);
  }

  /** When the oldest unfinished call was sent; the current time if there is none. */
  get oldestSentAt(): number {
    const times = [...this.#calls.values()].map(({ sentAt }) => sentAt);
    return Math.min(this.#options.events.now, ...times);
  }

  /** Processes an effect of an entry that concerns a caller. */
  handleEffect(effect: EntryEffect): void {
    switch (effect.kind) {
      case "continue_answer":
        return this.#onChunk(effect.requestId);
      case "finish_answer":
      case "whole_answer":
        return this.#onEnd(effect.requestId);
      case "refuse_request":
        return this.#onRefused(
          effect.requestId,
          effect.problem.retryAfterSeconds ?? 1,
        );
      case "cut_answer":
        return this.#end(effect.requestId, "unserved");
      default:
        return;
    }
  }

  /** Ends the calls of an entry that has stopped. */
  endCalls(requestIds: readonly number[]): void {
    for (const id of requestIds) this.#end(id, "unserved");
  }

  #scheduleNext(kind: number): void {
    const { events, random, perSecond, burst } = this.#options;
    const share = KINDS[kind]?.share ?? 0;
    const isBurst = kind === burst.kind && events.now >= burst.from &&
      events.now < burst.until;
    const rate = perSecond * share * (isBurst ? burst.factor : 1);
    events.after(random.nextExponential(MS_PER_SECOND / rate), () => {
      this.#scheduleNext(kind);
      this.#send({
        kind,
        organisation: this.#sampleOrganisation(),
        sentAt: events.now,
        hasRetried: false,
        firstChunkMs: undefined,
        lastChunkAt: 0,
        longestPauseMs: 0,
      });
    });
  }

  #sampleOrganisation(): number {
    const { random } = this.#options;
    let remaining = random.nextFraction();
    for (const [organisation, share] of LARGE_SHARES.entries()) {
      if (remaining < share) return organisation;
      remaining -= share;
    }
    const smallCount = ORGANISATIONS - LARGE_SHARES.length;
    return LARGE_SHARES.length + random.nextBelow(smallCount);
  }

  #send(call: Call): void {
    const { events, send } = this.#options;
    const id = ++this.#lastId;
    this.#calls.set(id, call);
    events.after(SILENCE_LIMIT_MS, () => this.#disconnectIfSilent(id));
    send({
      id,
      method: "POST",
      path: `/kind-${call.kind}`,
      headers: [],
      body: Buffer.alloc(0),
      deadlineMs: Math.floor(call.sentAt + DEADLINE_MS - events.now),
      accessKeySha256: getAccessKeyHash(call.organisation),
    });
  }

  #disconnectIfSilent(id: number): void {
    const call = this.#calls.get(id);
    if (call === undefined || call.firstChunkMs !== undefined) return;
    this.#end(id, "unserved");
    this.#options.disconnect(id);
  }

  #onChunk(id: number): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    const { now } = this.#options.events;
    if (call.firstChunkMs === undefined) call.firstChunkMs = now - call.sentAt;
    else {
      const pauseMs = now - call.lastChunkAt;
      call.longestPauseMs = Math.max(call.longestPauseMs, pauseMs);
    }
    call.lastChunkAt = now;
  }

  #onEnd(id: number): void {
    const { firstChunkMs = Infinity, longestPauseMs = 0 } =
      this.#calls.get(id) ?? {};
    const isOnTime = firstChunkMs <= OBJECTIVE_MS &&
      longestPauseMs <= PAUSE_OBJECTIVE_MS;
    this.#end(id, isOnTime ? "on_time" : "late");
  }

  #onRefused(id: number, retryAfterSeconds: number): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    const { events } = this.#options;
    const remainingMs = call.sentAt + DEADLINE_MS - events.now;
    const retryDelayMs = Math.min(
      retryAfterSeconds * MS_PER_SECOND,
      HONOURED_FRACTION * remainingMs,
    );
    if (call.hasRetried) return this.#end(id, "unserved");
    this.#calls.delete(id);
    call.hasRetried = true;
    events.after(retryDelayMs, () => this.#send(call));
  }

  #end(id: number, outcome: CallOutcome): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    this.#calls.delete(id);
    const { kind, organisation, sentAt } = call;
    this.endedCalls.push({ kind, organisation, sentAt, outcome });
  }
}
