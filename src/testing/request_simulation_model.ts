/**
 * Holds the simulated processes and the undelivered messages between them. Passes
 * events to the reducers of entries and targets and performs their effects, in virtual
 * time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import type { TargetEffect, TargetEvent } from "../target/types.ts";
import { createRoutes } from "./fixtures.ts";
import { RunLog } from "./run_log.ts";
import { SimulatedCallers } from "./simulated_callers.ts";
import {
  type Connection,
  hasMessages,
  SimulatedConnections,
} from "./simulated_connections.ts";
import {
  getTargetName,
  SimulatedTargets,
  type SimulatedTargetsOptions,
} from "./simulated_targets.ts";

/** Wall-clock milliseconds at which every simulation begins. */
export const SIMULATION_START_MS = Date.UTC(2026, 11, 2);
/** The pool of all targets. */
export const SIMULATION_POOL = "confirm";

const STEP_MS = 1000;

/** Options of a simulation of requests. */
export interface RequestSimulationOptions extends SimulatedTargetsOptions {
  readonly entries: number;
  /** Lines added to the service's settings. */
  readonly service?: readonly string[];
}

/** Entries, targets, callers and the messages between them. */
export class RequestSimulationModel {
  readonly callers = new SimulatedCallers();
  readonly connections = new SimulatedConnections();
  readonly runLog = new RunLog();
  readonly targets: SimulatedTargets;
  #now = 1000;
  #scheduled: { readonly time: number; readonly run: () => void }[] = [];
  readonly #entries: EntryReducer[] = [];
  readonly #options: RequestSimulationOptions;

  /** Starts all processes without connecting them. */
  constructor(options: RequestSimulationOptions) {
    this.#options = options;
    for (let entry = 0; entry < options.entries; entry++) {
      this.#entries.push(
        new EntryReducer({
          failureDomain: `domain-${entry}`,
          random: new RandomSource(entry + 1),
        }),
      );
      this.dispatchToEntry(entry, {
        kind: "settings_in_force",
        now: this.#now,
        routes: createRoutes({ service: options.service }),
      });
    }
    this.targets = new SimulatedTargets(options, this.#now);
  }

  /** Milliseconds of the virtual monotonic clock. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a callback at a virtual time. */
  scheduleAt(time: number, run: () => void): void {
    this.#scheduled.push({ time, run });
  }

  /** Advances time in small steps for all processes that are not paused. */
  tick(milliseconds: number): void {
    const end = this.#now + milliseconds;
    while (this.#now < end) this.#advance(Math.min(STEP_MS, end - this.#now));
  }

  #advance(milliseconds: number): void {
    this.#now += milliseconds;
    const due = this.#scheduled.filter((one) => one.time <= this.#now);
    this.#scheduled = this.#scheduled.filter((one) => one.time > this.#now);
    for (const { run } of due) run();
    for (const [entry] of this.#entries.entries()) {
      this.dispatchToEntry(entry, { kind: "tick", now: this.#now });
    }
    for (const [target, process] of this.targets.all.entries()) {
      if (!process.isUp || process.isPaused) continue;
      this.dispatchToTarget(target, { kind: "tick", now: this.#now });
    }
  }

  /** Delivers the next message of a connection, chosen by number. */
  deliver(choice: number): void {
    const open = this.connections.all().filter((one) =>
      this.#isOpen(one) && hasMessages(one)
    );
    const connection = open[choice % Math.max(1, open.length)];
    if (connection === undefined) return;
    const isToTarget = connection.toEntry.length === 0 ||
      (connection.toTarget.length > 0 && choice % 2 === 0);
    if (isToTarget) this.#deliverToTarget(connection);
    else this.#deliverToEntry(connection);
  }

  /** Delivers every message without advancing any run. */
  deliverAll(): void {
    const open = this.connections.all().filter((one) => this.#isOpen(one));
    for (const connection of open) {
      while (connection.toTarget.length > 0) this.#deliverToTarget(connection);
      while (connection.toEntry.length > 0) this.#deliverToEntry(connection);
    }
  }

  /** Advances one of the runs of a back end. */
  progressRun(target: number, choice: number): void {
    const process = this.targets.get(target);
    if (process.isPaused) return;
    const event = process.runs.tryProgress(choice, this.#now);
    if (event !== undefined) this.dispatchToTarget(target, event);
  }

  /** Fails one of the runs of a back end. */
  failRun(target: number, choice: number): void {
    const process = this.targets.get(target);
    if (process.isPaused) return;
    const event = process.runs.tryFail(choice, this.#now);
    if (event !== undefined) this.dispatchToTarget(target, event);
  }

  /** Connects every entry and target that are not connected. */
  connectAll(): void {
    for (let entry = 0; entry < this.#options.entries; entry++) {
      for (let target = 0; target < this.#options.targets; target++) {
        this.#connect(entry, target);
      }
    }
  }

  /** Delivers every message and completes every run. */
  settle(): void {
    for (let round = 0; round < 10_000; round++) {
      const hasNoMessages = this.connections.all().every((one) =>
        !this.#isOpen(one) || !hasMessages(one)
      );
      const isIdle = this.targets.all.every((one) =>
        one.isPaused || one.runs.size === 0
      );
      if (hasNoMessages && isIdle) return;
      for (const connection of this.connections.all()) {
        if (!this.#isOpen(connection)) continue;
        this.#deliverToTarget(connection);
        this.#deliverToEntry(connection);
      }
      for (const [target] of this.targets.all.entries()) {
        this.progressRun(target, 0);
      }
    }
    assert.fail("The simulation does not settle");
  }

  /** Closes a connection; both sides notice. */
  disconnect(connection: Connection): void {
    this.connections.remove(connection);
    const process = this.targets.get(connection.target);
    if (process.isUp && !process.isPaused) {
      this.dispatchToTarget(connection.target, {
        kind: "link_closed",
        now: this.#now,
        linkId: connection.id,
      });
    }
    this.dispatchToEntry(connection.entry, {
      kind: "target_disconnected",
      now: this.#now,
      targetName: getTargetName(connection.target),
    });
  }

  /** Passes an event to an entry. */
  dispatchToEntry(entry: number, event: EntryEvent): void {
    const reducer = this.#entries[entry] as EntryReducer;
    for (const effect of reducer.reduce(event)) {
      this.#performEntryEffect(entry, effect);
    }
  }

  /** Passes an event to a target. */
  dispatchToTarget(target: number, event: TargetEvent): void {
    const process = this.targets.get(target);
    for (const effect of process.reducer.reduce(event)) {
      this.performTargetEffect(target, effect);
    }
  }

  /** Performs an effect of a target. */
  performTargetEffect(target: number, effect: TargetEffect): void {
    const process = this.targets.get(target);
    switch (effect.kind) {
      case "reply":
        this.connections.tryGet(effect.linkId)?.toEntry.push(effect.message);
        return;
      case "broadcast":
        for (const connection of this.connections.listByTarget(target)) {
          connection.toEntry.push(effect.message);
        }
        return;
      case "start_back_end": {
        const header = effect.request.headers
          .find(([name]) => name === "x-submission");
        const submission = this.callers.get(Number(header?.[1]));
        this.callers.countRun(submission);
        this.runLog.record({
          target,
          entry: submission.entry,
          at: this.#now,
        });
        process.runs.start(effect.runId, submission);
        return;
      }
      case "cancel_back_end":
        return this.dispatchToTarget(
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

  /** Returns whether messages are delivered. */
  #isOpen({ isStalled, target }: Connection): boolean {
    return !isStalled && !this.targets.get(target).isPaused;
  }

  #connect(entry: number, target: number): void {
    const process = this.targets.get(target);
    if (!process.isUp || process.isPaused) return;
    const isConnected =
      this.connections.tryGetBetween(entry, target) !== undefined;
    if (isConnected) return;
    const connection = this.connections.add(entry, target);
    this.dispatchToEntry(entry, {
      kind: "target_connected",
      now: this.#now,
      target: {
        name: getTargetName(target),
        incarnation: String(process.incarnation),
        failureDomain: `domain-${target}`,
        pool: SIMULATION_POOL,
        concurrency: this.#options.concurrency ?? 2,
      },
    });
    this.dispatchToTarget(target, {
      kind: "link_opened",
      now: this.#now,
      linkId: connection.id,
    });
  }

  #deliverToTarget(connection: Connection): void {
    const message = connection.toTarget.shift();
    if (message === undefined) return;
    this.dispatchToTarget(connection.target, {
      kind: "message_received",
      now: this.#now,
      wallNow: SIMULATION_START_MS + this.#now,
      linkId: connection.id,
      message,
    });
  }

  #deliverToEntry(connection: Connection): void {
    const message = connection.toEntry.shift();
    if (message === undefined) return;
    this.dispatchToEntry(connection.entry, {
      kind: "message_received",
      now: this.#now,
      targetName: getTargetName(connection.target),
      message,
    });
  }

  #performEntryEffect(entry: number, effect: EntryEffect): void {
    if (effect.kind !== "send") return this.callers.recordEffect(effect);
    this.connections.all()
      .find((one) =>
        one.entry === entry && getTargetName(one.target) === effect.targetName
      )
      ?.toTarget.push(effect.message);
  }
}
