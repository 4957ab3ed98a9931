/**
 * Simulates entries of one rank group, in virtual time and without a network:
 * callers, reports of the group's decider that are some hundred milliseconds old, and
 * restarts of entries and decider.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import { RoutingTable } from "../entry/routing_table.ts";
import type {
  CallerRequest,
  EntryEffect,
  EntryEvent,
  SendToTarget,
} from "../entry/types.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import { BurstCallers, getAccessKeyHash } from "./burst_callers.ts";
import {
  type Burst,
  DEADLINE_MS,
  type EndedCall,
  KINDS,
  OBJECTIVE_MS,
  ORGANISATIONS,
  PAUSE_OBJECTIVE_MS,
} from "./burst_types.ts";
import { EventQueue } from "./event_queue.ts";
import { createDocuments, createInstance } from "./fixtures.ts";
import {
  getEngineAddress,
  type GroupSnapshot,
  IDLE_PASS_MS,
  JointPassGroup,
  RANKS,
  SLOTS_PER_RANK,
} from "./joint_pass_group.ts";

const POOL = "ranks";
const GROUP = "group";
const REPORT_INTERVAL_MS = 200;
/** Age in milliseconds of a report when an entry receives it. */
const REPORT_AGE_MS = { min: 200, max: 500 };
/** Steps of a pass. */
const STRIDE = 8;
const TICK_MS = 40;
/** Chunks of an answer; the mean is 17. */
const CHUNKS = { min: 12, spread: 11 };
const STREAM_HEAD = [["content-type", "text/event-stream"]] as const;

/** A time without the decider, in milliseconds. */
export interface DeciderOutage {
  readonly from: number;
  readonly until: number;
}

/** Options of a {@link PriorityBurstSimulation}. */
export interface BurstSimulationOptions {
  readonly seed: number;
  readonly entries: number;
  /** Request rate of all kinds outside of a burst. */
  readonly perSecond: number;
  readonly burst: Burst;
  /** Whether the services differ in priority; otherwise each has the default priority. */
  readonly isPrioritised: boolean;
  /** When the decider restarts. */
  readonly deciderOutage?: DeciderOutage;
  /** When all entries restart. */
  readonly restartAt?: number;
  /** Whether entries know the settings of the rank group; true by default. */
  readonly knowsGroup?: boolean;
  /** Called for each effect of an entry. */
  readonly onEffect?: (effect: EntryEffect) => void;
}

interface Entry {
  reducer: EntryReducer;
  /** When the entry's last report arrives; later reports do not overtake it. */
  lastReportAt: number;
  readonly requests: Set<number>;
}

/** Entries, callers and a rank group in virtual time. */
export class PriorityBurstSimulation {
  readonly #options: BurstSimulationOptions;
  readonly #events = new EventQueue();
  readonly #random: RandomSource;
  readonly #group: JointPassGroup;
  readonly #callers: BurstCallers;
  readonly #entries: Entry[];
  /** The entry of each request, by the request's id. */
  readonly #entryByRequest = new Map<number, Entry>();

  /** Starts callers and entries; the same options give the same run. */
  constructor(options: BurstSimulationOptions) {
    this.#options = options;
    const { seed, perSecond, burst } = options;
    const events = this.#events;
    this.#random = new RandomSource(seed);
    this.#group = new JointPassGroup(events, new RandomSource(seed + 1));
    this.#entries = Array.from({ length: options.entries }, (_, index) => ({
      reducer: this.#createReducer(index),
      lastReportAt: 0,
      requests: new Set<number>(),
    }));
    this.#callers = new BurstCallers({
      events,
      random: new RandomSource(seed + 2),
      perSecond,
      burst,
      send: (request) => this.#send(request),
      disconnect: (requestId) => this.#disconnect(requestId),
    });
    this.#scheduleReport();
    for (const entry of this.#entries) this.#scheduleTick(entry);
    if (options.restartAt !== undefined) {
      events.after(options.restartAt, () => this.#restartEntries());
    }
  }

  /** Runs up to a virtual time. Returns the calls that have ended. */
  run(untilMs: number): readonly EndedCall[] {
    this.#events.runUntil(untilMs);
    return this.#callers.endedCalls;
  }

  /** Virtual milliseconds since the oldest unfinished call was sent. */
  get oldestCallMs(): number {
    return this.#events.now - this.#callers.oldestSentAt;
  }

  #createReducer(index: number): EntryReducer {
    const { now } = this.#events;
    const reducer = new EntryReducer({
      failureDomain: "a",
      entryName: `entry-${index}`,
      random: new RandomSource(this.#options.seed + 100 + index),
    });
    reducer.reduce({
      kind: "settings_in_force",
      now,
      routes: createRoutingTable(this.#options.isPrioritised),
      groups: this.#options.knowsGroup === false ? undefined : GROUPS,
    });
    reducer.reduce({ kind: "instances_listed", now, instances: INSTANCES });
    reducer.reduce({
      kind: "entries_listed",
      now,
      entries: Array.from(
        { length: this.#options.entries },
        (_, other) => `entry-${other}`,
      ),
    });
    reducer.reduce({ kind: "ranks_listed", ranks: LISTED_RANKS });
    return reducer;
  }

  #send(request: CallerRequest): void {
    const index = this.#random.nextBelow(this.#entries.length);
    const entry = this.#entries[index] as Entry;
    this.#entryByRequest.set(request.id, entry);
    entry.requests.add(request.id);
    const { now } = this.#events;
    this.#dispatch(entry, { kind: "request_arrived", now, request });
  }

  #disconnect(requestId: number): void {
    const entry = this.#entryByRequest.get(requestId);
    if (entry === undefined) return;
    const { now } = this.#events;
    this.#dispatch(entry, { kind: "caller_gone", now, requestId });
  }

  #dispatch(entry: Entry, event: EntryEvent): void {
    for (const effect of entry.reducer.reduce(event)) {
      this.#perform(entry, effect);
    }
  }

  #perform(entry: Entry, effect: EntryEffect): void {
    this.#options.onEffect?.(effect);
    if (effect.kind === "send") return this.#sendToRank(entry, effect);
    this.#callers.handleEffect(effect);
  }

  #sendToRank(entry: Entry, { targetName, message }: SendToTarget): void {
    const rank = Number(targetName.split("-")[1]);
    const key = `${message.requestId}.${message.attempt}`;
    if (message.kind === "cancel") return this.#group.cancel(rank, key);
    const { requestId, attempt } = message;
    const attemptId = { requestId, attempt };
    const { reducer } = entry;
    let sequence = 0;
    this.#group.submit(rank, {
      key,
      priority: message.priority,
      chunks: CHUNKS.min + this.#random.nextBelow(CHUNKS.spread),
      onChunk: (isLast) => {
        // A restarted entry receives no answers to its earlier requests.
        if (entry.reducer !== reducer) return;
        const receive = (part: AnswerPart) =>
          this.#dispatch(entry, {
            kind: "message_received",
            now: this.#events.now,
            targetName,
            message: { ...attemptId, sequence: sequence++, ...part },
          });
        if (sequence === 0) {
          receive({ kind: "answer_head", status: 200, headers: STREAM_HEAD });
        }
        const bytes = createEvent(sequence);
        receive({ kind: "answer_data", bytes });
        if (!isLast) return;
        const byteCount = getTotalEventBytes(sequence);
        receive({ kind: "answer_end", byteCount, queued: 0, running: 0 });
      },
    });
  }

  #scheduleReport(): void {
    this.#events.after(REPORT_INTERVAL_MS, () => {
      this.#scheduleReport();
      const { now } = this.#events;
      const { from, until } = this.#options.deciderOutage ??
        { from: 0, until: 0 };
      if (now >= from && now < until) return;
      const snapshot = this.#group.observe();
      for (const entry of this.#entries) this.#report(entry, snapshot);
    });
  }

  #report(entry: Entry, { passMs, loads }: GroupSnapshot): void {
    const { now } = this.#events;
    const { min, max } = REPORT_AGE_MS;
    const ageMs = min + this.#random.nextFraction() * (max - min);
    const at = Math.max(entry.lastReportAt, now + ageMs);
    entry.lastReportAt = at;
    this.#events.after(at - now, () =>
      this.#dispatch(entry, {
        kind: "group_load_told",
        now: this.#events.now,
        load: {
          pool: POOL,
          group: GROUP,
          isOpen: true,
          ageMs: min,
          passMs,
          loads,
        },
      }));
  }

  #scheduleTick(entry: Entry): void {
    this.#events.after(TICK_MS, () => {
      const { now } = this.#events;
      const isBusy = entry.reducer.inFlight > 0;
      if (isBusy) this.#dispatch(entry, { kind: "tick", now });
      this.#scheduleTick(entry);
    });
  }

  #restartEntries(): void {
    for (const [index, entry] of this.#entries.entries()) {
      this.#callers.endCalls([...entry.requests]);
      entry.requests.clear();
      entry.reducer = this.#createReducer(index);
    }
  }
}

type AnswerPart =
  | {
    readonly kind: "answer_head";
    readonly status: number;
    readonly headers: typeof STREAM_HEAD;
  }
  | { readonly kind: "answer_data"; readonly bytes: Uint8Array }
  | {
    readonly kind: "answer_end";
    readonly byteCount: number;
    readonly queued: number;
    readonly running: number;
  };

const RANK_NUMBERS = Array.from({ length: RANKS }, (_, rank) => rank);
const INSTANCES = RANK_NUMBERS.map((rank) =>
  createInstance(`rank-${rank}`, {
    address: getEngineAddress(rank),
    pool: POOL,
    concurrency: SLOTS_PER_RANK,
  })
);
const LISTED_RANKS = RANK_NUMBERS.map((rank) => ({
  engineAddress: getEngineAddress(rank),
  group: GROUP,
}));

const GROUPS: ReadonlyMap<string, GroupSettings> = new Map([[POOL, {
  layers: 3,
  experts: 128,
  slotsPerRank: 8,
  maxNewExperts: 2,
  loadMs: 300,
  pauseObjectiveMs: PAUSE_OBJECTIVE_MS,
  stepMs: IDLE_PASS_MS / STRIDE,
  stride: STRIDE,
}]]);

function createEvent(sequence: number): Uint8Array {
  return new TextEncoder().encode(`id: ${sequence}\ndata: x\n\n`);
}

/**
 * Returns the total bytes of the events before a sequence number; the first event has
 * number 1.
 */
function getTotalEventBytes(end: number): number {
  let sum = 0;
  for (let sequence = 1; sequence < end; sequence++) {
    sum += createEvent(sequence).length;
  }
  return sum;
}

function createRoutingTable(isPrioritised: boolean): RoutingTable {
  const organisations = Array.from({ length: ORGANISATIONS }, (_, index) => ({
    path: `/organisations/org-${index}`,
    text: `kind: organisation\naccessKeySha256: ["${getAccessKeyHash(index)}"]`,
  }));
  const services = KINDS.map(({ priority }, kind) => ({
    path: `/organisations/org-0/services/kind-${kind}`,
    text: [
      "kind: service",
      `pathPrefix: /kind-${kind}`,
      `pool: ${POOL}`,
      "callers: access_key",
      "resumable: true",
      "idempotentMethods: [POST]",
      "retryShare: 1",
      `defaultDeadlineMs: ${DEADLINE_MS}`,
      `longestDeadlineMs: ${DEADLINE_MS}`,
      `objectiveMs: ${OBJECTIVE_MS}`,
      `pauseObjectiveMs: ${PAUSE_OBJECTIVE_MS}`,
      ...isPrioritised ? [`priority: ${priority}`] : [],
    ].join("\n"),
  }));
  return new RoutingTable(createDocuments([...organisations, ...services]));
}
