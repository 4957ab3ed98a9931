/**
 * A small world around the reducers of entries and targets, for tests under
 * faults: messages under way, back ends that count runs, an owner table, and
 * callers that remember what they were told. Time is virtual.
 *
 * @module
 */
import { createRoutes } from "./fixtures.ts";
import {
  RequestWorldModel,
  type RequestWorldOptions,
  WORLD_POOL,
} from "./request_world_model.ts";
import type { Submission } from "./submissions.ts";
import type { WorldCallers } from "./world_callers.ts";
import { WorldOwnerTable } from "./world_owner_table.ts";
import { nameOf } from "./world_targets.ts";

export {
  type RequestWorldOptions,
  WORLD_EPOCH_MS,
} from "./request_world_model.ts";
export { GONE_GRACE_MS } from "./world_owner_table.ts";

/** Entries, targets, back ends and callers, in virtual time, and what goes wrong. */
export class RequestWorld {
  readonly #options: RequestWorldOptions;
  readonly #model: RequestWorldModel;
  readonly #table: WorldOwnerTable;

  /** All processes are up and connected, and every slot has an owner. */
  constructor(options: RequestWorldOptions) {
    this.#options = options;
    this.#model = new RequestWorldModel(options);
    this.#table = new WorldOwnerTable(this.#model);
    for (let target = 0; target < options.targets; target++) {
      this.lookAtTable(target);
      this.connectAll();
    }
    this.settle();
  }

  /** The callers, and what each was told. */
  get callers(): WorldCallers {
    return this.#model.callers;
  }

  /** Milliseconds of the virtual monotonic clock. */
  get now(): number {
    return this.#model.now;
  }

  /** Whether nobody can read or write the owner table now. */
  get isKeyValueDown(): boolean {
    return this.#table.isDown;
  }

  set isKeyValueDown(isDown: boolean) {
    this.#table.isDown = isDown;
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
    this.#model.toEntry(entry, {
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

  /** The caller of a submission closes its connection. */
  abandon(submission: Submission): void {
    if (submission.outcome !== undefined) return;
    this.#model.toEntry(submission.entry, {
      kind: "caller_gone",
      now: this.now,
      requestId: submission.id,
    });
  }

  /** Delivers the next message of a connection, picked by number. */
  deliver(choice: number): void {
    this.#model.deliver(choice);
  }

  /** Delivers every message, but lets no run get on. */
  deliverAll(): void {
    this.#model.deliverAll();
  }

  /** Delivers everything and lets every run end. */
  settle(): void {
    this.#model.settle();
  }

  /** Nothing gets through between these two for now. */
  stallBetween(entry: number, target: number): void {
    const connection = this.#model.connections.tryBetween(entry, target);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** The slot of a key of this world's service. */
  slotOf(key: string): number {
    return this.#table.slotOf(key);
  }

  /** The target that the owner table gives a key to. */
  ownerOf(key: string): number | undefined {
    return this.#table.ownerOf(key);
  }

  /** A back end gets on with one of its runs. */
  progressRun(target: number, choice: number): void {
    this.#model.progressRun(target, choice);
  }

  /** A back end breaks off one of its answers. */
  failRun(target: number, choice: number): void {
    this.#model.failRun(target, choice);
  }

  /** Time passes, in small steps, for all that are not paused. */
  tick(milliseconds: number): void {
    this.#model.tick(milliseconds);
  }

  /** Does something once virtual time has come so far. */
  at(time: number, run: () => void): void {
    this.#model.at(time, run);
  }

  /** The connection is lost; both sides notice. */
  disconnect(choice: number): void {
    const connection = this.#model.connections.tryPick(choice);
    if (connection !== undefined) this.#model.disconnect(connection);
  }

  /** Nothing gets through for now. */
  stall(choice: number): void {
    const connection = this.#model.connections.tryPick(choice);
    if (connection !== undefined) connection.isStalled = true;
  }

  /** Everything that was stalled gets through again. */
  unstallAll(): void {
    this.#model.connections.unstallAll();
  }

  /** Connections are made where there are none. */
  connectAll(): void {
    this.#model.connectAll();
  }

  /** kill -9 of a target's process; what its back end runs goes on. */
  kill(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp) return;
    process.isUp = false;
    process.isPaused = false;
    process.runs.clear();
    for (const connection of this.#model.connections.ofTarget(target)) {
      this.#model.disconnect(connection);
    }
  }

  /** The process starts anew on the same machine, without memory. */
  restart(target: number): void {
    const process = this.#model.targets.get(target);
    if (process.isUp) this.kill(target);
    this.#model.targets.restart(target, this.now);
    this.connectAll();
  }

  /** SIGSTOP. */
  pause(target: number): void {
    if (this.#model.targets.get(target).isUp) {
      this.#model.targets.get(target).isPaused = true;
    }
  }

  /** SIGCONT. */
  wake(target: number): void {
    this.#model.targets.get(target).isPaused = false;
  }

  /** The platform says that the machine is gone, rightly or not. */
  listGone(target: number): void {
    this.#model.targets.get(target).goneAt ??= this.now;
  }

  /** The platform says that the machine is there. */
  listLive(target: number): void {
    this.#model.targets.get(target).goneAt = undefined;
  }

  /** A target reads the owner table, and later takes in what it read. */
  startLook(target: number): void {
    this.#table.startLook(target);
  }

  /** A target claims by what it read: compare-and-swap, then its own use. */
  finishLook(target: number): void {
    this.#table.finishLook(target);
  }

  /** Reads the owner table and claims at once. */
  lookAtTable(target: number): void {
    this.#table.lookAtTable(target);
  }

  /** A drained target gives back its slots, and waits for their new owners. */
  release(target: number): void {
    this.#table.release(target);
  }

  /** A new owner asks for the keys of one slot that it took. */
  handOver(target: number): void {
    this.#table.handOver(target);
  }

  /** A new owner asks for the keys of all slots that it took. */
  handOverAll(target: number): void {
    this.#table.handOverAll(target);
  }

  /** Runs that a target has begun for an entry. */
  runsAt(target: number, entry: number): number {
    return this.#model.runLog.countAt(target, entry);
  }

  /** When a target last began a run. */
  lastRunAt(target: number): number {
    return this.#model.runLog.lastAt(target);
  }

  /** The next message from a target to an entry is lost. */
  dropNext(entry: number, target: number): void {
    this.#model.connections.tryBetween(entry, target)?.toEntry.shift();
  }

  /** The target learns from the list or the settings whether it is leaving. */
  setLeaving(target: number, isLeaving: boolean): void {
    this.#model.toTarget(target, {
      kind: "leaving_set",
      now: this.now,
      isLeaving,
    });
  }

  /** Entries read in the list that a target is leaving. */
  listLeaving(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#model.toEntry(entry, {
        kind: "machines_listed",
        now: this.now,
        virtualMachines: [{
          name: nameOf(target),
          address: "127.0.0.1:1",
          role: "target",
          failureDomain: `domain-${target}`,
          pool: WORLD_POOL,
          state: "leaving",
        }],
      });
    }
  }

  /** Entries take in settings by which a target is leaving. */
  setLeavingBySettings(entries: readonly number[], target: number): void {
    for (const entry of entries) {
      this.#model.toEntry(entry, {
        kind: "settings_in_force",
        now: this.now,
        routes: createRoutes({ service: this.#options.service }),
        leavingTargets: new Set([nameOf(target)]),
      });
    }
  }

  /** A target is told to end. */
  drain(target: number): void {
    const process = this.#model.targets.get(target);
    if (!process.isUp || process.isPaused) return;
    this.#model.toTarget(target, { kind: "drain_requested", now: this.now });
  }

  /** What must hold at every moment. */
  checkInvariants(): void {
    this.callers.check();
  }
}
