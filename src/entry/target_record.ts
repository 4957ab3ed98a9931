/**
 * What this entry knows of one target, as the reducer updates it.
 *
 * @module
 */
import type { GroupState } from "./group_state.ts";
import type { TargetView } from "../policy/target_view.ts";
import type { TargetIdentity } from "./types.ts";

/** Weight of the newest attempt in the share of failures, from 0 to 1. */
const FAILURE_SMOOTHING = 0.2;
/** Time constant of the exponential decay of the share of failures, in milliseconds. */
const FAILURE_DECAY_MS = 5000;
/** Weight of the newest answer in the mean time to first byte, from 0 to 1. */
const LATENCY_SMOOTHING = 0.1;

/**
 * Milliseconds for which an idle connection stays open if its messages do not state it.
 */
const DEFAULT_CONNECTION_KEPT_MS = 7000;

/**
 * Minimum pace (see {@link TargetRecord.setPace}) at which a rank gets no requests while
 * others are free.
 */
const STRAGGLER_PACE = 1.5;
/**
 * Minimum pace at which the requests of a rank are moved to others. Prefilling a prompt
 * again takes some 10 ms, and such a rank delays a single pass by more.
 */
const MOVE_REQUESTS_PACE = 3;

/** What this entry knows of one target. */
export class TargetRecord implements TargetView {
  readonly identity: TargetIdentity;
  #isConnected = true;
  #hasAnnouncedLeaving = false;
  #isListedLeaving = false;
  #isLeavingBySettings = false;
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
  #group: GroupState | undefined;
  #hasDecider = false;
  /**
   * Times until which idle connections can carry another request; that of the most
   * recently used connection is last.
   */
  readonly #idleUntil: number[] = [];
  /** Requests of this entry at the target, with the times at which they were sent. */
  readonly #inFlight = new Map<number, number>();
  /** Those of the requests in flight that wait for a first byte, oldest first. */
  readonly #awaitingFirstByte = new Map<number, number>();

  /** Creates the record of a target that is connected, idle and without failures. */
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
    return this.#failureShare * Math.exp(-age / FAILURE_DECAY_MS);
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
    const first = this.#awaitingFirstByte.values().next();
    return first.done ? undefined : first.value;
  }

  /** Mean time to first byte, in milliseconds; undefined before any answer. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** Whether new requests may be sent to the target. */
  get isServing(): boolean {
    return !this.#isDrained && this.#servesUnlessDrained;
  }

  /** Whether the drain of its failure domain is all that prevents new requests. */
  get isExcludedByDrain(): boolean {
    return this.#isDrained && this.#servesUnlessDrained;
  }

  /** Whether operators drain the failure domain of the target. */
  get isDrained(): boolean {
    return this.#isDrained;
  }

  get #servesUnlessDrained(): boolean {
    return this.#isConnected && !this.#hasAnnouncedLeaving &&
      !this.#isListedLeaving && !this.#isLeavingBySettings;
  }

  /** Whether the target is connected, so that messages reach it. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** Sets the time by which the share of failures decays. */
  setNow(now: number): void {
    this.#now = now;
  }

  /** Records the loss of the connection and of all requests in flight on it. */
  disconnect(): void {
    this.#isConnected = false;
    this.#inFlight.clear();
    this.#awaitingFirstByte.clear();
    this.#idleUntil.splice(0);
  }

  /** Sets whether the target announced that it is leaving; false if it serves again. */
  setAnnouncedLeaving(isLeaving: boolean): void {
    this.#hasAnnouncedLeaving = isLeaving;
  }

  /** Sets whether the platform's list shows the target as leaving or gone. */
  setListedLeaving(isLeaving: boolean): void {
    this.#isListedLeaving = isLeaving;
  }

  /** Whether the platform's list shows the target as leaving or gone. */
  get isListedLeaving(): boolean {
    return this.#isListedLeaving;
  }

  /** Sets whether the operators' settings mark the target as leaving. */
  setLeavingBySettings(isLeaving: boolean): void {
    this.#isLeavingBySettings = isLeaving;
  }

  /** Sets whether operators drain the failure domain of the target. */
  setDrained(isDrained: boolean): void {
    this.#isDrained = isDrained;
  }

  /** Sets the rank group that the target belongs to. */
  setGroup(group: GroupState): void {
    this.#group = group;
  }

  /** The rank group that the target belongs to; undefined if none is known. */
  get group(): GroupState | undefined {
    return this.#group;
  }

  /**
   * Whether the rank group of the target is known not to run, so that requests would
   * wait.
   */
  isGroupClosed(now: number): boolean {
    return this.#group?.isClosed(now) ?? false;
  }

  /** Sets the reported duration of its work relative to that of a rank of usual speed. */
  setPace(pace: number): void {
    this.#pace = pace;
    this.#hasDecider = true;
  }

  /** Whether the rank is slow enough to delay its whole group. */
  get isStraggler(): boolean {
    return this.#pace >= STRAGGLER_PACE;
  }

  /**
   * Whether the rank is so slow that its requests in flight should move to other targets.
   */
  get shouldMoveRequests(): boolean {
    return this.#pace >= MOVE_REQUESTS_PACE;
  }

  /** Whether the decider of its rank group has reported the load of this target. */
  get hasDecider(): boolean {
    return this.#hasDecider;
  }

  /** Sets the ratio of its time to first byte to that of the pool. */
  setSlowness(slowness: number): void {
    this.#slowness = slowness;
  }

  /** Records the reported number of queued and running requests. */
  setReportedLoad(load: number, now: number): void {
    this.#reportedLoad = load;
    this.#ownInReport = this.#inFlight.size;
    this.#reportedAt = now;
  }

  /** Adds a request that was sent to the target. */
  addInFlight(requestId: number, now: number): void {
    this.#inFlight.set(requestId, now);
    // The most recently used connection is used first.
    this.#idleUntil.pop();
    this.#awaitingFirstByte.set(requestId, now);
  }

  /** Records that the first byte of an answer arrived. */
  recordFirstByte(requestId: number, now: number): void {
    this.#answeredAt = now;
    this.#awaitingFirstByte.delete(requestId);
    const sentAt = this.#inFlight.get(requestId);
    if (sentAt === undefined) return;
    const sample = now - sentAt;
    this.#firstByteMs ??= sample;
    this.#firstByteMs += LATENCY_SMOOTHING * (sample - this.#firstByteMs);
  }

  /** Removes a request that is no longer at the target. */
  removeInFlight(requestId: number): void {
    this.#inFlight.delete(requestId);
    this.#awaitingFirstByte.delete(requestId);
  }

  /** Records whether an attempt failed. */
  recordAttempt(hasFailed: boolean, now: number): void {
    this.#now = now;
    const sample = hasFailed ? 1 : 0;
    const share = this.failureShare;
    this.#failureShare = share + FAILURE_SMOOTHING * (sample - share);
    this.#failureAt = now;
    if (!hasFailed) this.#answeredAt = now;
  }

  /**
   * Records that the connection of an ended attempt can carry another one for `keptMs`
   * milliseconds, or for the default time if that is unknown.
   */
  recordConnection(keptMs: number | undefined, now: number): void {
    const firstOpen = this.#idleUntil.findIndex((until) => until > now);
    this.#idleUntil.splice(0, firstOpen < 0 ? Infinity : firstOpen);
    const openMs = keptMs ?? DEFAULT_CONNECTION_KEPT_MS;
    if (openMs > 0) this.#idleUntil.push(now + openMs);
  }

  /**
   * Removes all idle connections. Called when a connection turned out to be dead, as
   * those that were idle for longer are probably dead, too.
   */
  forgetConnections(): void {
    this.#idleUntil.splice(0);
  }
}

/** Returns the number of requests that the ranks of a group run at once. */
export function countSlots(
  members: readonly TargetRecord[],
  group: GroupState,
): number {
  return members.reduce(
    (sum, target) => sum + (target.group === group ? target.concurrency : 0),
    0,
  );
}
