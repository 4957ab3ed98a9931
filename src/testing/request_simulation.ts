/**
 * Simulates the reducers of entries and targets under faults, in virtual time:
 * undelivered messages, back ends that count runs, an owner table, and callers that
 * record their answers.
 *
 * @module
 */
import { createRoutes } from "./fixtures.ts";
import {
  RequestSimulationModel,
  type RequestSimulationOptions,
  SIMULATION_POOL,
} from "./request_simulation_model.ts";
import type { Submission } from "./submissions.ts";
import type { SimulatedCallers } from "./simulated_callers.ts";
import { SimulatedOwnerTable } from "./simulated_owner_table.ts";
import { getTargetName } from "./simulated_targets.ts";
import { createSocketAddress } from "./socket_addresses.ts";

export {
  type RequestSimulationOptions,
  SIMULATION_START_MS,
} from "./request_simulation_model.ts";
export { GONE_GRACE_MS } from "./simulated_owner_table.ts";

/**
 * Entries, targets, back ends and callers in virtual time, with methods that cause
 * faults.
 */
export class RequestSimulation {
  readonly #options: RequestSimulationOptions;
  readonly #model: RequestSimulationModel;
  readonly #table: SimulatedOwnerTable;

  /** Starts and connects all processes and gives every slot an owner. */
  constructor(options: RequestSimulationOptions) {
    this.#options = options;
    this.#model = new RequestSimulationModel(options);
    this.#table = new SimulatedOwnerTable(this.#model);
    for (let target = 0; target < options.targets; target++) {
      this.readAndClaim(target);
      this.connectAll();
    }
    this.settle();
  }

  /** The callers with their submissions and outcomes. */
  get callers(): SimulatedCallers {
    return this.#model.callers;
  }

  /** Milliseconds of the virtual monotonic clock. */
  get now(): number {
    return this.#model.now;
  }

  /** Whether the owner table can be neither read nor written. */
  get isKeyValueDown(): boolean {
    return this.#table.isDown;
  }

  set isKeyValueDown(isDown: boolean) {
    this.#table.isDown = isDown;
  }

  /** Sends a caller's request to an entry. */
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
    this.#model.dispatchToEntry(entry, {
      kind: "request_arrived",
      now: this.now,
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

  /** Closes the connection of a submission's caller. */
  disconnectCaller(submission: Submission): void {
    if (submission.outcome !== undefined) return;
    this.#model.dispatchToEntry(submission.entry, {
      kind: "caller_gone",
      now: this.now,
      requestId: submission.id,
    });
  }

  /** Delivers the next message of a connection, chosen by number. */
  deliver(choice: number): void {
    this.#model.deliver(choice);
  }

  /** Delivers every message without advancing any run. */
  deliverAll(): void {
    this.#model.deliverAll();
  }

  /** Delivers every message and completes every run. */
  settle(): void {
    this.#model.settle();
  }

  /** Stalls the connection between an entry and a target. */
  stallBetween(entry: number, target: number): void {
    const connection = this.#model.connections.tryGetBetween(entry, target);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** Returns the slot of a key of the simulated service. */
  getSlot(key: string): number {
    return this.#table.getSlot(key);
  }

  /** Returns the target that owns a key according to the owner table. */
  getOwner(key: string): number | undefined {
    return this.#table.getOwner(key);
  }

  /** Advances one of the runs of a back end. */
  progressRun(target: number, choice: number): void {
    this.#model.progressRun(target, choice);
  }

  /** Fails one of the runs of a back end. */
  failRun(target: number, choice: number): void {
    this.#model.failRun(target, choice);
  }

  /** Advances time in small steps for all processes that are not paused. */
  tick(milliseconds: number): void {
    this.#model.tick(milliseconds);
  }

  /** Schedules a callback at a virtual time. */
  scheduleAt(time: number, run: () => void): void {
    this.#model.scheduleAt(time, run);
  }

  /** Closes a connection; both sides notice. */
  disconnect(choice: number): void {
    const connection = this.#model.connections.tryPick(choice);
    if (connection !== undefined) this.#model.disconnect(connection);
  }

  /** Stalls a connection. */
  stall(choice: number): void {
    const connection = this.#model.connections.tryPick(choice);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** Makes all stalled connections work again. */
  unstallAll(): void {
    this.#model.connections.unstallAll();
  }

  /** Connects every entry and target that are not connected. */
  connectAll(): void {
    this.#model.connectAll();
  }

  /** Kills a target's process, as with `kill -9`. */
  kill(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp) return;
    process.isUp = false;
    process.isPaused = false;
    process.runs.clear();
    for (const connection of this.#model.connections.listByTarget(target)) {
      this.#model.disconnect(connection);
    }
  }

  /** Restarts the process on the same VM with empty state. */
  restart(target: number): void {
    const process = this.#model.targets.get(target);
    if (process.isUp) this.kill(target);
    this.#model.targets.restart(target, this.now);
    this.connectAll();
  }

  /** Pauses a target's process, as SIGSTOP does. */
  pause(target: number): void {
    if (this.#model.targets.get(target).isUp) {
      this.#model.targets.get(target).isPaused = true;
    }
  }

  /** Resumes a target's process, as SIGCONT does. */
  resume(target: number): void {
    this.#model.targets.get(target).isPaused = false;
  }

  /** Makes the platform list the VM as gone, even if it still runs. */
  listGone(target: number): void {
    this.#model.targets.get(target).goneAt ??= this.now;
  }

  /** Makes the platform list the VM as live. */
  listLive(target: number): void {
    this.#model.targets.get(target).goneAt = undefined;
  }

  /** Reads the owner table for a target, which processes it in {@link finishRead}. */
  startRead(target: number): void {
    this.#table.startRead(target);
  }

  /**
   * Claims slots according to the table that was read: by compare-and-swap first, then in
   * the target.
   */
  finishRead(target: number): void {
    this.#table.finishRead(target);
  }

  /** Reads the owner table and claims slots immediately. */
  readAndClaim(target: number): void {
    this.#table.readAndClaim(target);
  }

  /** Releases the slots of a drained target, which then waits for their new owners. */
  release(target: number): void {
    this.#table.release(target);
  }

  /** Requests the keys of one slot that a new owner has claimed. */
  handOver(target: number): void {
    this.#table.handOver(target);
  }

  /** Requests the keys of all slots that a new owner has claimed. */
  handOverAll(target: number): void {
    this.#table.handOverAll(target);
  }

  /** Returns the number of runs that a target has started for an entry. */
  countRuns(target: number, entry: number): number {
    return this.#model.runLog.countRuns(target, entry);
  }

  /** Returns when a target last started a run. */
  getLastRunAt(target: number): number {
    return this.#model.runLog.getLastStart(target);
  }

  /** Drops the next message from a target to an entry. */
  dropNextMessage(entry: number, target: number): void {
    this.#model.connections.tryGetBetween(entry, target)?.toEntry.shift();
  }

  /** Sets whether a target is leaving, as it learns from the list or the settings. */
  setLeaving(target: number, isLeaving: boolean): void {
    this.#model.dispatchToTarget(target, {
      kind: "leaving_set",
      now: this.now,
      isLeaving,
    });
  }

  /** Makes entries read in the list that a target is leaving. */
  listLeaving(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#model.dispatchToEntry(entry, {
        kind: "machines_listed",
        now: this.now,
        virtualMachines: [{
          name: getTargetName(target),
          address: createSocketAddress("127.0.0.1:1"),
          role: "target",
          failureDomain: `domain-${target}`,
          pool: SIMULATION_POOL,
          state: "leaving",
        }],
      });
    }
  }

  /** Applies settings to entries in which a target is leaving. */
  setLeavingBySettings(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#model.dispatchToEntry(entry, {
        kind: "settings_in_force",
        now: this.now,
        routes: createRoutes({ service: this.#options.service }),
        leavingTargets: new Set([getTargetName(target)]),
      });
    }
  }

  /** Requests a target to drain and end. */
  drain(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused) return;
    this.#model.dispatchToTarget(target, {
      kind: "drain_requested",
      now: this.now,
    });
  }

  /** Checks the conditions that must hold at every moment. */
  checkInvariants(): void {
    this.callers.check();
  }
}
