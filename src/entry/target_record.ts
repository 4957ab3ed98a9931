/**
 * What this entry knows of one target, kept up to date by the reducer.
 *
 * @module
 */
import type { GroupBelief } from "./group_belief.ts";
import type { TargetView } from "../policy/target_view.ts";
import type { TargetIdentity } from "./types.ts";

/** Weight of the newest attempt in the share of failures. */
const FAILURE_SMOOTHING = 0.2;
/** Milliseconds in which a share of failures falls to a third by itself. */
const FAILURE_MEMORY_MS = 5000;
/** Weight of the newest answer in the mean time to first byte. */
const LATENCY_SMOOTHING = 0.1;

/** Milliseconds for which a connection lasts whose messages do not say. */
const UNTOLD_KEPT_MS = 7000;

/** Pace from which a rank is sent no work while others are free. */
const STRAGGLER_PACE = 1.5;
/**
 * Pace from which requests are taken away from a rank. Reading a prompt again
 * takes some 10 ms, and one pass is held back by more.
 */
const HOLDS_BACK_PACE = 3;

/** What this entry knows of one target. */
export class TargetRecord implements TargetView {
  readonly identity: TargetIdentity;
  #isConnected = true;
  #saidLeaving = false;
  #isListedLeaving = false;
  #isSetLeaving = false;
  #isDrained = false;
  #reportedLoad = 0;
  #ownInReport = 0;
  #reportedAt = 0;
  #failureShare = 0;
  #failureAt = 0;
  #firstByteMs: number | undefined;
  #slowness = 1;
  #answeredAt = 0;
  #now = 0;
  #pace = 1;
  #group: GroupBelief | undefined;
  #isDecided = false;
  /** Until when connections can carry another request, the one used last at the end. */
  readonly #idleUntil: number[] = [];
  /** Requests of ours at the target, with the time they were sent. */
  readonly #inFlight = new Map<number, number>();
  /** Those of them that wait for a first byte, oldest first. */
  readonly #silent = new Map<number, number>();

  /** Begins connected, idle and without failures. */
  constructor(identity: TargetIdentity) {
    this.identity = identity;
  }

  get name(): string {
    return this.identity.name;
  }

  get pool(): string {
    return this.identity.pool;
  }

  get failureDomain(): string {
    return this.identity.failureDomain;
  }

  get concurrency(): number {
    return this.identity.concurrency;
  }

  get ownInFlight(): number {
    return this.#inFlight.size;
  }

  get reportedLoad(): number {
    return this.#reportedLoad;
  }

  get ownInReport(): number {
    return this.#ownInReport;
  }

  get reportedAt(): number {
    return this.#reportedAt;
  }

  get failureShare(): number {
    const age = Math.max(0, this.#now - this.#failureAt);
    return this.#failureShare * Math.exp(-age / FAILURE_MEMORY_MS);
  }

  get slowness(): number {
    return this.#slowness;
  }

  get answeredAt(): number {
    return this.#answeredAt;
  }

  get idleConnectionUntil(): number {
    return this.#idleUntil.at(-1) ?? Number.NEGATIVE_INFINITY;
  }

  get waitingSince(): number | undefined {
    const first = this.#silent.values().next();
    return first.done ? undefined : first.value;
  }

  /** Mean time to first byte, in milliseconds; undefined before any answer. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** Whether new work may be sent. */
  get isServing(): boolean {
    return !this.#isDrained && this.#wouldServe;
  }

  /** Whether new work may not be sent for the drain of its failure domain alone. */
  get isHeldByDrain(): boolean {
    return this.#isDrained && this.#wouldServe;
  }

  /** Whether operators drain its failure domain. */
  get isDrained(): boolean {
    return this.#isDrained;
  }

  get #wouldServe(): boolean {
    return this.#isConnected && !this.#saidLeaving &&
      !this.#isListedLeaving && !this.#isSetLeaving;
  }

  /** Whether messages reach the target now. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** The clock by which failures are forgotten. */
  setNow(now: number): void {
    this.#now = now;
  }

  /** The connection was lost, and with it all that was in flight. */
  disconnect(): void {
    this.#isConnected = false;
    this.#inFlight.clear();
    this.#silent.clear();
    this.#idleUntil.splice(0);
  }

  /** The target said that it is leaving, or that it serves again. */
  setLeaving(isLeaving: boolean): void {
    this.#saidLeaving = isLeaving;
  }

  /** What the platform's list says. */
  setListedLeaving(isLeaving: boolean): void {
    this.#isListedLeaving = isLeaving;
  }

  /** Whether the platform's list says that it leaves or is gone. */
  get isListedLeaving(): boolean {
    return this.#isListedLeaving;
  }

  /** What the operators' settings say. */
  setSetLeaving(isLeaving: boolean): void {
    this.#isSetLeaving = isLeaving;
  }

  /** Whether operators drain its failure domain. */
  setDrained(isDrained: boolean): void {
    this.#isDrained = isDrained;
  }

  /** The rank group that it belongs to. */
  setGroup(group: GroupBelief): void {
    this.#group = group;
  }

  /** The rank group that it belongs to, if that is known. */
  get group(): GroupBelief | undefined {
    return this.#group;
  }

  /**
   * Whether its rank group is known not to run, so that requests would only wait.
   */
  isGroupClosed(now: number): boolean {
    return this.#group?.isClosed(now) ?? false;
  }

  /** Time of its work over that of a rank of usual speed, as it told. */
  setPace(pace: number): void {
    this.#pace = pace;
    this.#isDecided = true;
  }

  /** Whether its own work holds back the whole group. */
  get isStraggler(): boolean {
    return this.#pace >= STRAGGLER_PACE;
  }

  /** Whether even the requests that it has should go on elsewhere. */
  get holdsBackGroup(): boolean {
    return this.#pace >= HOLDS_BACK_PACE;
  }

  /** Whether it belongs to a rank group whose decider was heard. */
  get hasDecider(): boolean {
    return this.#isDecided;
  }

  /** Its time to first byte against the pool's. */
  setSlowness(slowness: number): void {
    this.#slowness = slowness;
  }

  /** Queued and running requests by the target's own word. */
  setReportedLoad(load: number, now: number): void {
    this.#reportedLoad = load;
    this.#ownInReport = this.#inFlight.size;
    this.#reportedAt = now;
  }

  /** A request was sent to it. */
  addInFlight(requestId: number, now: number): void {
    this.#inFlight.set(requestId, now);
    // The connection that was used last is used first.
    this.#idleUntil.pop();
    this.#silent.set(requestId, now);
  }

  /** The first byte of an answer arrived. */
  countFirstByte(requestId: number, now: number): void {
    this.#answeredAt = now;
    this.#silent.delete(requestId);
    const sentAt = this.#inFlight.get(requestId);
    if (sentAt === undefined) return;
    const sample = now - sentAt;
    this.#firstByteMs ??= sample;
    this.#firstByteMs += LATENCY_SMOOTHING * (sample - this.#firstByteMs);
  }

  /** A request is no longer at the target. */
  removeInFlight(requestId: number): void {
    this.#inFlight.delete(requestId);
    this.#silent.delete(requestId);
  }

  /** An attempt ended well, or failed. */
  countAttempt(hasFailed: boolean, now: number): void {
    this.#now = now;
    const newest = hasFailed ? 1 : 0;
    const share = this.failureShare;
    this.#failureShare = share + FAILURE_SMOOTHING * (newest - share);
    this.#failureAt = now;
    if (!hasFailed) this.#answeredAt = now;
  }

  /** An attempt is over, and its connection can carry another one for so long. */
  noteConnection(keptMs: number | undefined, now: number): void {
    const firstKept = this.#idleUntil.findIndex((until) => until > now);
    this.#idleUntil.splice(0, firstKept < 0 ? Infinity : firstKept);
    const lastsMs = keptMs ?? UNTOLD_KEPT_MS;
    if (lastsMs > 0) this.#idleUntil.push(now + lastsMs);
  }

  /** A connection was found dead; those that rested longer are no better. */
  forgetConnections(): void {
    this.#idleUntil.splice(0);
  }
}
