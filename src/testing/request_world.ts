/**
 * A small world around the reducers of entries and targets, for tests under
 * faults: messages under way, back ends that count runs, an owner table, and
 * callers that remember what they were told. Time is virtual.
 *
 * @module
 */
import assert from "node:assert/strict";
import { fingerprintOf, slotOf } from "../core/idempotency_key.ts";
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import type { LedgerSlotMessage } from "../messages/types.ts";
import {
  createOwnerTable,
  ownedSlotsOf,
  type OwnerTable,
  type ReleasedSlot,
  releasedSlotsTaken,
  tryClaim,
  tryRelease,
} from "../target/owner_table.ts";
import { TargetReducer } from "../target/target_reducer.ts";
import type { TargetEffect, TargetEvent } from "../target/types.ts";
import { BackEndRuns } from "./back_end_runs.ts";
import { createRoutes } from "./fixtures.ts";
import { RunLog } from "./run_log.ts";
import type { Submission } from "./submissions.ts";
import { WorldCallers } from "./world_callers.ts";
import {
  type Connection,
  isBusy,
  WorldConnections,
} from "./world_connections.ts";

/** Wall-clock milliseconds at which every world begins. */
export const WORLD_EPOCH_MS = Date.UTC(2026, 11, 2);
/** Milliseconds for which a machine must be gone before it loses its slots. */
export const GONE_GRACE_MS = 60_000;

const POOL = "confirm";
/** Number of no entry's connection. */
const SUCCESSOR_LINK = -1;
const SERVICE = "/organisations/andamaq/services/confirm";
const STEP_MS = 1000;

interface TargetProcess {
  reducer: TargetReducer;
  incarnation: number;
  isUp: boolean;
  isPaused: boolean;
  goneAt: number | undefined;
  /** A read of the owner table that is under way. */
  read: { readonly table: OwnerTable; readonly askedAt: number } | undefined;
  readonly runs: BackEndRuns;
  isDrained: boolean;
  /** Slots taken from one who released them, whose keys were not asked for. */
  taken: ReleasedSlot[];
}

/** Options of a {@link RequestWorld}. */
export interface RequestWorldOptions {
  readonly entries: number;
  readonly targets: number;
  readonly concurrency?: number;
  readonly queueLength?: number;
  /** Whether answers are streamed rather than held until whole. */
  readonly isStreamed?: boolean;
  /** Lines of the service's settings. */
  readonly service?: readonly string[];
}

/** Entries, targets, back ends and callers, in virtual time. */
export class RequestWorld {
  readonly callers = new WorldCallers();
  isKeyValueDown = false;
  #now = 1000;
  #table: OwnerTable = createOwnerTable(WORLD_EPOCH_MS);
  readonly #runLog = new RunLog();
  #planned: { readonly time: number; readonly run: () => void }[] = [];
  readonly #entries: EntryReducer[] = [];
  readonly #targets: TargetProcess[] = [];
  readonly #connections = new WorldConnections();
  readonly #options: RequestWorldOptions;

  /** All processes are up and connected, and every slot has an owner. */
  constructor(options: RequestWorldOptions) {
    this.#options = options;
    for (let entry = 0; entry < options.entries; entry++) {
      this.#entries.push(
        new EntryReducer({
          failureDomain: `domain-${entry}`,
          random: new RandomSource(entry + 1),
        }),
      );
      this.#toEntry(entry, {
        kind: "settings_in_force",
        now: this.#now,
        routes: createRoutes({ service: options.service }),
      });
    }
    for (let target = 0; target < options.targets; target++) {
      this.#targets.push(this.#createTarget(1));
    }
    for (let target = 0; target < options.targets; target++) {
      this.lookAtTable(target);
      this.connectAll();
    }
    this.settle();
  }

  /** Milliseconds of the virtual monotonic clock. */
  get now(): number {
    return this.#now;
  }

  /** A caller sends a request through an entry. */
  submit(
    entry: number,
    request: {
      readonly method?: string;
      readonly key?: string;
      readonly body?: string;
      readonly deadlineMs?: number;
    },
  ): Submission {
    const submission = this.callers.add({ entry, ...request });
    this.#toEntry(entry, {
      kind: "request_arrived",
      now: this.#now,
      request: {
        id: submission.id,
        method: submission.method,
        path: "/confirm",
        headers: [["x-submission", String(submission.id)]],
        body: Buffer.from(submission.body),
        idempotencyKey: submission.key,
        deadlineMs: request.deadlineMs,
      },
    });
    return submission;
  }

  /** The caller of a submission closes its connection. */
  abandon(submission: Submission): void {
    if (submission.outcome !== undefined) return;
    this.#toEntry(submission.entry, {
      kind: "caller_gone",
      now: this.#now,
      requestId: submission.id,
    });
  }

  /** Delivers the next message of a connection, picked by number. */
  deliver(choice: number): void {
    const open = this.#connections.all().filter((one) =>
      this.#isOpen(one) && isBusy(one)
    );
    const connection = open[choice % Math.max(1, open.length)];
    if (connection === undefined) return;
    const isToTarget = connection.toEntry.length === 0 ||
      (connection.toTarget.length > 0 && choice % 2 === 0);
    if (isToTarget) this.#deliverToTarget(connection);
    else this.#deliverToEntry(connection);
  }

  /** Delivers every message, but lets no run get on. */
  deliverAll(): void {
    const open = this.#connections.all().filter((one) => this.#isOpen(one));
    for (const connection of open) {
      while (connection.toTarget.length > 0) this.#deliverToTarget(connection);
      while (connection.toEntry.length > 0) this.#deliverToEntry(connection);
    }
  }

  /** Nothing gets through between these two for now. */
  stallBetween(entry: number, target: number): void {
    const connection = this.#connections.tryBetween(entry, target);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** The slot of a key of this world's service. */
  slotOf(key: string): number {
    return slotOf(fingerprintOf({
      organisation: "andamaq",
      service: SERVICE,
      idempotencyKey: key,
    }));
  }

  /** The target that the owner table gives a key to. */
  ownerOf(key: string): number | undefined {
    const state = this.#table.slots[this.slotOf(key)];
    if (state?.kind !== "taken") return undefined;
    return this.#targets.findIndex((_, target) =>
      nameOf(target) === state.targetName
    );
  }

  /** A back end gets on with one of its runs. */
  progressRun(target: number, choice: number): void {
    const process = this.#target(target);
    if (process.isPaused) return;
    const event = process.runs.tryProgress(choice, this.#now);
    if (event !== undefined) this.#toTarget(target, event);
  }

  /** A back end breaks off one of its answers. */
  failRun(target: number, choice: number): void {
    const process = this.#target(target);
    if (process.isPaused) return;
    const event = process.runs.tryFail(choice, this.#now);
    if (event !== undefined) this.#toTarget(target, event);
  }

  /** Time passes, in small steps, for all that are not paused. */
  tick(milliseconds: number): void {
    const end = this.#now + milliseconds;
    while (this.#now < end) this.#step(Math.min(STEP_MS, end - this.#now));
  }

  #step(milliseconds: number): void {
    this.#now += milliseconds;
    const due = this.#planned.filter((one) => one.time <= this.#now);
    this.#planned = this.#planned.filter((one) => one.time > this.#now);
    for (const { run } of due) run();
    for (const [entry] of this.#entries.entries()) {
      this.#toEntry(entry, { kind: "tick", now: this.#now });
    }
    for (const [target, process] of this.#targets.entries()) {
      if (!process.isUp || process.isPaused) continue;
      this.#toTarget(target, { kind: "tick", now: this.#now });
    }
  }

  /** The connection is lost; both sides notice. */
  disconnect(choice: number): void {
    const connection = this.#connections.tryPick(choice);
    if (connection !== undefined) this.#disconnect(connection);
  }

  /** Nothing gets through for now. */
  stall(choice: number): void {
    const connection = this.#connections.tryPick(choice);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** Everything that was stalled gets through again. */
  unstallAll(): void {
    this.#connections.unstallAll();
  }

  /** Connections are made where there are none. */
  connectAll(): void {
    for (let entry = 0; entry < this.#options.entries; entry++) {
      for (let target = 0; target < this.#options.targets; target++) {
        this.#connect(entry, target);
      }
    }
  }

  /** kill -9 of a target's process; what its back end runs goes on. */
  kill(target: number): void {
    const process = this.#target(target);
    if (!process.isUp) return;
    process.isUp = false;
    process.isPaused = false;
    process.runs.clear();
    for (const connection of this.#connections.ofTarget(target)) {
      this.#disconnect(connection);
    }
  }

  /** The process starts anew on the same machine, without memory. */
  restart(target: number): void {
    const process = this.#target(target);
    if (process.isUp) this.kill(target);
    const next = this.#createTarget(process.incarnation + 1);
    this.#targets[target] = next;
    this.connectAll();
  }

  /** SIGSTOP. */
  pause(target: number): void {
    if (this.#target(target).isUp) this.#target(target).isPaused = true;
  }

  /** SIGCONT. */
  wake(target: number): void {
    this.#target(target).isPaused = false;
  }

  /** The platform says that the machine is gone, rightly or not. */
  listGone(target: number): void {
    this.#target(target).goneAt ??= this.#now;
  }

  /** The platform says that the machine is there. */
  listLive(target: number): void {
    this.#target(target).goneAt = undefined;
  }

  /** A target reads the owner table, and later takes in what it read. */
  startLook(target: number): void {
    const process = this.#target(target);
    if (!process.isUp || process.isPaused || this.isKeyValueDown) return;
    process.read = { table: this.#table, askedAt: this.#now };
  }

  /** A target claims by what it read: compare-and-swap, then its own use. */
  finishLook(target: number): void {
    const process = this.#target(target);
    const { read } = process;
    if (read === undefined || !process.isUp || process.isPaused) return;
    process.read = undefined;
    if (this.isKeyValueDown) return;
    const owner = {
      targetName: nameOf(target),
      incarnation: String(process.incarnation),
    };
    const next = tryClaim(read.table, {
      ...owner,
      wallNow: WORLD_EPOCH_MS + this.#now,
      liveTargets: this.#targets.filter((one) => one.goneAt === undefined)
        .length,
      isGone: (name) => this.#isGone(name),
    });
    if (next !== undefined) {
      if (this.#table.version !== read.table.version) return;
      this.#table = next;
      process.taken.push(...releasedSlotsTaken(read.table, next));
    }
    this.#toTarget(target, {
      kind: "claims_confirmed",
      now: this.#now,
      claims: ownedSlotsOf(next ?? read.table, owner),
      askedAt: read.askedAt,
    });
  }

  /** Reads the owner table and claims at once. */
  lookAtTable(target: number): void {
    this.startLook(target);
    this.finishLook(target);
  }

  /** Does something once virtual time has come so far. */
  at(time: number, run: () => void): void {
    this.#planned.push({ time, run });
  }

  /** Runs that a target has begun for an entry. */
  runsAt(target: number, entry: number): number {
    return this.#runLog.countAt(target, entry);
  }

  /** When a target last began a run. */
  lastRunAt(target: number): number {
    return this.#runLog.lastAt(target);
  }

  /** A drained target gives back its slots, and waits for their new owners. */
  release(target: number): void {
    const process = this.#target(target);
    if (!process.isUp || process.isPaused || !process.isDrained) return;
    if (this.isKeyValueDown) return;
    const next = tryRelease(this.#table, {
      targetName: nameOf(target),
      incarnation: String(process.incarnation),
      wallNow: WORLD_EPOCH_MS + this.#now,
      address: nameOf(target),
    });
    if (next !== undefined) this.#table = next;
  }

  /** A new owner asks for the keys of one slot that it took. */
  handOver(target: number): void {
    const process = this.#target(target);
    if (!process.isUp || process.isPaused) return;
    const taken = process.taken.shift();
    const from = this.#targets.findIndex((_, index) =>
      nameOf(index) === taken?.address
    );
    const old = this.#targets[from];
    if (taken === undefined || !old?.isUp || old.isPaused) return;
    const effects = old.reducer.reduce({
      kind: "hand_over_asked",
      now: this.#now,
      linkId: SUCCESSOR_LINK,
      slot: taken.slot,
    });
    for (const effect of effects) {
      const isHistory = effect.kind === "reply" &&
        effect.message.kind === "ledger_slot";
      if (!isHistory) {
        this.#performTarget(from, effect);
        continue;
      }
      this.#toTarget(target, {
        kind: "history_received",
        now: this.#now,
        history: effect.message as LedgerSlotMessage,
      });
    }
  }

  /** A new owner asks for the keys of all slots that it took. */
  handOverAll(target: number): void {
    while (this.#target(target).taken.length > 0) this.handOver(target);
  }

  /** The next message from a target to an entry is lost. */
  dropNext(entry: number, target: number): void {
    this.#connections.tryBetween(entry, target)?.toEntry.shift();
  }

  /** The target learns from the list or the settings whether it is leaving. */
  setLeaving(target: number, isLeaving: boolean): void {
    this.#toTarget(target, { kind: "leaving_set", now: this.#now, isLeaving });
  }

  /** Entries read in the list that a target is leaving. */
  listLeaving(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#toEntry(entry, {
        kind: "machines_listed",
        now: this.#now,
        machines: [{
          name: nameOf(target),
          address: "127.0.0.1:1",
          role: "target",
          failureDomain: `domain-${target}`,
          pool: POOL,
          state: "leaving",
        }],
      });
    }
  }

  /** Entries take in settings by which a target is leaving. */
  setLeavingBySettings(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#toEntry(entry, {
        kind: "settings_in_force",
        now: this.#now,
        routes: createRoutes({ service: this.#options.service }),
        leavingTargets: new Set([nameOf(target)]),
      });
    }
  }

  /** A target is told to end. */
  drain(target: number): void {
    const process = this.#target(target);
    if (!process.isUp || process.isPaused) return;
    this.#toTarget(target, { kind: "drain_requested", now: this.#now });
  }

  /** Delivers everything and lets every run end. */
  settle(): void {
    for (let round = 0; round < 10_000; round++) {
      const isQuiet = this.#connections.all().every((one) =>
        !this.#isOpen(one) || !isBusy(one)
      );
      const isIdle = this.#targets.every((one) =>
        one.isPaused || one.runs.size === 0
      );
      if (isQuiet && isIdle) return;
      for (const connection of this.#connections.all()) {
        if (!this.#isOpen(connection)) continue;
        this.#deliverToTarget(connection);
        this.#deliverToEntry(connection);
      }
      for (const [target] of this.#targets.entries()) {
        this.progressRun(target, 0);
      }
    }
    assert.fail("The world does not come to rest");
  }

  /** What must hold at every moment. */
  checkInvariants(): void {
    this.callers.check();
  }

  #createTarget(incarnation: number): TargetProcess {
    return {
      reducer: new TargetReducer({
        limits: {
          concurrency: this.#options.concurrency ?? 2,
          queueLength: this.#options.queueLength ?? 4,
          ledgerLength: 1000,
          keptAnswerBytes: 1000,
          keptBytes: 100_000,
          gatherMs: 20,
        },
        now: this.#now,
      }),
      incarnation,
      isUp: true,
      isPaused: false,
      goneAt: undefined,
      read: undefined,
      runs: new BackEndRuns(this.#options.isStreamed === true),
      isDrained: false,
      taken: [],
    };
  }

  /** Whether messages get through. */
  #isOpen({ isStalled, target }: Connection): boolean {
    return !isStalled && !this.#target(target).isPaused;
  }

  #target(target: number): TargetProcess {
    return this.#targets[target] as TargetProcess;
  }

  #isGone(name: string): boolean {
    const process = this.#targets.find((_, index) => nameOf(index) === name);
    const goneAt = process?.goneAt;
    return goneAt !== undefined && this.#now - goneAt >= GONE_GRACE_MS;
  }

  #connect(entry: number, target: number): void {
    const process = this.#target(target);
    if (!process.isUp || process.isPaused) return;
    const isConnected =
      this.#connections.tryBetween(entry, target) !== undefined;
    if (isConnected) return;
    const connection = this.#connections.add(entry, target);
    this.#toEntry(entry, {
      kind: "target_connected",
      now: this.#now,
      target: {
        name: nameOf(target),
        incarnation: String(process.incarnation),
        failureDomain: `domain-${target}`,
        pool: POOL,
        concurrency: this.#options.concurrency ?? 2,
      },
    });
    this.#toTarget(target, {
      kind: "link_opened",
      now: this.#now,
      linkId: connection.id,
    });
  }

  #disconnect(connection: Connection): void {
    this.#connections.remove(connection);
    const process = this.#target(connection.target);
    if (process.isUp && !process.isPaused) {
      this.#toTarget(connection.target, {
        kind: "link_closed",
        now: this.#now,
        linkId: connection.id,
      });
    }
    this.#toEntry(connection.entry, {
      kind: "target_disconnected",
      now: this.#now,
      targetName: nameOf(connection.target),
    });
  }

  #deliverToTarget(connection: Connection): void {
    const message = connection.toTarget.shift();
    if (message === undefined) return;
    this.#toTarget(connection.target, {
      kind: "message_received",
      now: this.#now,
      wallNow: WORLD_EPOCH_MS + this.#now,
      linkId: connection.id,
      message,
    });
  }

  #deliverToEntry(connection: Connection): void {
    const message = connection.toEntry.shift();
    if (message === undefined) return;
    this.#toEntry(connection.entry, {
      kind: "message_received",
      now: this.#now,
      targetName: nameOf(connection.target),
      message,
    });
  }

  #toEntry(entry: number, event: EntryEvent): void {
    const reducer = this.#entries[entry] as EntryReducer;
    for (const effect of reducer.reduce(event)) {
      this.#performEntry(entry, effect);
    }
  }

  #performEntry(entry: number, effect: EntryEffect): void {
    if (effect.kind !== "send") return this.callers.note(effect);
    this.#connections.all()
      .find((one) =>
        one.entry === entry && nameOf(one.target) === effect.targetName
      )
      ?.toTarget.push(effect.message);
  }

  #toTarget(target: number, event: TargetEvent): void {
    const process = this.#target(target);
    for (const effect of process.reducer.reduce(event)) {
      this.#performTarget(target, effect);
    }
  }

  #performTarget(target: number, effect: TargetEffect): void {
    const process = this.#target(target);
    switch (effect.kind) {
      case "reply":
        this.#connections.tryGet(effect.linkId)?.toEntry.push(effect.message);
        return;
      case "broadcast":
        for (const connection of this.#connections.ofTarget(target)) {
          connection.toEntry.push(effect.message);
        }
        return;
      case "start_back_end": {
        const header = effect.request.headers
          .find(([name]) => name === "x-submission");
        const submission = this.callers.get(Number(header?.[1]));
        this.callers.countRun(submission);
        this.#runLog.note({
          target,
          entry: submission.entry,
          at: this.#now,
        });
        process.runs.start(effect.runId, submission);
        return;
      }
      case "cancel_back_end":
        return this.#toTarget(
          target,
          process.runs.end(effect.runId, this.#now),
        );
      case "drained":
        process.isDrained = true;
        return;
      default:
        return;
    }
  }
}

function nameOf(target: number): string {
  return `target-${target}`;
}
