/**
 * Holds the simulated processes and the undelivered messages between them. Feeds events
 * to the reducers of entries and targets and performs their effects, in virtual time.
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
import { WorldCallers } from "./world_callers.ts";
import {
  type Connection,
  isBusy,
  WorldConnections,
} from "./world_connections.ts";
import {
  nameOf,
  WorldTargets,
  type WorldTargetsOptions,
} from "./world_targets.ts";

/** Wall-clock milliseconds at which every simulation begins. */
export const WORLD_EPOCH_MS = Date.UTC(2026, 11, 2);
/** The pool of all targets. */
export const WORLD_POOL = "confirm";

const STEP_MS = 1000;

/** Options of a simulation of requests. */
export interface RequestWorldOptions extends WorldTargetsOptions {
  readonly entries: number;
  /** Lines added to the service's settings. */
  readonly service?: readonly string[];
}

/** Entries, targets, callers and the messages between them. */
export class RequestWorldModel {
  readonly callers = new WorldCallers();
  readonly connections = new WorldConnections();
  readonly runLog = new RunLog();
  readonly targets: WorldTargets;
  #now = 1000;
  #planned: { readonly time: number; readonly run: () => void }[] = [];
  readonly #entries: EntryReducer[] = [];
  readonly #options: RequestWorldOptions;

  /** Starts all processes without connecting them. */
  constructor(options: RequestWorldOptions) {
    this.#options = options;
    for (let entry = 0; entry < options.entries; entry++) {
      this.#entries.push(
        new EntryReducer({
          failureDomain: `domain-${entry}`,
          random: new RandomSource(entry + 1),
        }),
      );
      this.toEntry(entry, {
        kind: "settings_in_force",
        now: this.#now,
        routes: createRoutes({ service: options.service }),
      });
    }
    this.targets = new WorldTargets(options, this.#now);
  }

  /** Milliseconds of the virtual monotonic clock. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a callback at a virtual time. */
  at(time: number, run: () => void): void {
    this.#planned.push({ time, run });
  }

  /** Advances time in small steps for all processes that are not paused. */
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
      this.toEntry(entry, { kind: "tick", now: this.#now });
    }
    for (const [target, process] of this.targets.all.entries()) {
      if (!process.isUp || process.isPaused) continue;
      this.toTarget(target, { kind: "tick", now: this.#now });
    }
  }

  /** Delivers the next message of a connection, chosen by number. */
  deliver(choice: number): void {
    const open = this.connections.all().filter((one) =>
      this.#isOpen(one) && isBusy(one)
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
    if (event !== undefined) this.toTarget(target, event);
  }

  /** Fails one of the runs of a back end. */
  failRun(target: number, choice: number): void {
    const process = this.targets.get(target);
    if (process.isPaused) return;
    const event = process.runs.tryFail(choice, this.#now);
    if (event !== undefined) this.toTarget(target, event);
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
      const isQuiet = this.connections.all().every((one) =>
        !this.#isOpen(one) || !isBusy(one)
      );
      const isIdle = this.targets.all.every((one) =>
        one.isPaused || one.runs.size === 0
      );
      if (isQuiet && isIdle) return;
      for (const connection of this.connections.all()) {
        if (!this.#isOpen(connection)) continue;
        this.#deliverToTarget(connection);
        this.#deliverToEntry(connection);
      }
      for (const [target] of this.targets.all.entries()) {
        this.progressRun(target, 0);
      }
    }
    assert.fail("The world does not come to rest");
  }

  /** Closes a connection; both sides notice. */
  disconnect(connection: Connection): void {
    this.connections.remove(connection);
    const process = this.targets.get(connection.target);
    if (process.isUp && !process.isPaused) {
      this.toTarget(connection.target, {
        kind: "link_closed",
        now: this.#now,
        linkId: connection.id,
      });
    }
    this.toEntry(connection.entry, {
      kind: "target_disconnected",
      now: this.#now,
      targetName: nameOf(connection.target),
    });
  }

  /** Passes an event to an entry. */
  toEntry(entry: number, event: EntryEvent): void {
    const reducer = this.#entries[entry] as EntryReducer;
    for (const effect of reducer.reduce(event)) {
      this.#performEntry(entry, effect);
    }
  }

  /** Passes an event to a target. */
  toTarget(target: number, event: TargetEvent): void {
    const process = this.targets.get(target);
    for (const effect of process.reducer.reduce(event)) {
      this.performTarget(target, effect);
    }
  }

  /** Performs an effect of a target. */
  performTarget(target: number, effect: TargetEffect): void {
    const process = this.targets.get(target);
    switch (effect.kind) {
      case "reply":
        this.connections.tryGet(effect.linkId)?.toEntry.push(effect.message);
        return;
      case "broadcast":
        for (const connection of this.connections.ofTarget(target)) {
          connection.toEntry.push(effect.message);
        }
        return;
      case "start_back_end": {
        const header = effect.request.headers
          .find(([name]) => name === "x-submission");
        const submission = this.callers.get(Number(header?.[1]));
        this.callers.countRun(submission);
        this.runLog.note({
          target,
          entry: submission.entry,
          at: this.#now,
        });
        process.runs.start(effect.runId, submission);
        return;
      }
      case "cancel_back_end":
        return this.toTarget(
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
      this.connections.tryBetween(entry, target) !== undefined;
    if (isConnected) return;
    const connection = this.connections.add(entry, target);
    this.toEntry(entry, {
      kind: "target_connected",
      now: this.#now,
      target: {
        name: nameOf(target),
        incarnation: String(process.incarnation),
        failureDomain: `domain-${target}`,
        pool: WORLD_POOL,
        concurrency: this.#options.concurrency ?? 2,
      },
    });
    this.toTarget(target, {
      kind: "link_opened",
      now: this.#now,
      linkId: connection.id,
    });
  }

  #deliverToTarget(connection: Connection): void {
    const message = connection.toTarget.shift();
    if (message === undefined) return;
    this.toTarget(connection.target, {
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
    this.toEntry(connection.entry, {
      kind: "message_received",
      now: this.#now,
      targetName: nameOf(connection.target),
      message,
    });
  }

  #performEntry(entry: number, effect: EntryEffect): void {
    if (effect.kind !== "send") return this.callers.note(effect);
    this.connections.all()
      .find((one) =>
        one.entry === entry && nameOf(one.target) === effect.targetName
      )
      ?.toTarget.push(effect.message);
  }
}
