/**
 * Records which requests targets crashed under, and refuses a request that crashes every
 * target that runs it (a poison request).
 *
 * A target crashes, the caller of a request gets no answer and sends it again, and the
 * next target crashes. Each may take its whole rank group down for seconds. After one
 * crash all requests that ran on the target are equally suspect, and a power or rack
 * failure crashes many targets at once. The order of events identifies the cause: the
 * request was sent again to a live target after an earlier target had crashed under it,
 * that target crashed as well, and no entry received an answer to the request in between.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Consecutive crashes after which a request is refused. */
const CRASHES_TO_REFUSE = 2;
/**
 * Milliseconds for which a request is first refused, and the factor by which each further
 * crash extends that time. Afterwards the request may run again, as the defect may have
 * been fixed, or the targets may have crashed for another reason.
 */
const REFUSED_MS = 60_000;
const REFUSAL_GROWTH_FACTOR = 4;
/** Number of crashes beyond which the refusal time stops growing. */
const MAX_COUNTED_CRASHES = 6;
/** Milliseconds for which the crashes of a refused request are kept. */
const REFUSED_RETENTION_MS = 3_600_000;
/**
 * The same for a request with a single crash, in milliseconds. Every request that ran on
 * a crashed target has one, so most of them are not the cause.
 */
const SUSPECT_RETENTION_MS = 120_000;
/**
 * Maximum number of requests kept: those that were running on targets as they crashed.
 */
const MAX_REQUESTS = 256;
/** Maximum number of crashes kept for one request. */
const MAX_CRASHES = 8;

/**
 * A crash of a target that was running a request. Times are in milliseconds of the local
 * clock.
 */
export interface Crash {
  readonly target: string;
  /**
   * When the target was last known to be alive before the crash: when the request was
   * sent to it, or earlier if the target has sent nothing since.
   */
  readonly aliveAt: number;
  /** When the attempt on the target ended without an answer. */
  readonly endedAt: number;
}

/** The recorded history of one request. */
export interface CrashedRequest {
  /** Digest of the request. */
  readonly request: string;
  readonly crashes: readonly Crash[];
  /** When the request was last answered after a crash, if it was. */
  readonly servedAt?: number;
  /** When an entry decided to refuse it, if one did. */
  readonly refusedAt?: number;
}

interface RequestRecord {
  readonly crashes: Map<string, Crash>;
  servedAt: number;
  refusedAt: number;
}

/** Records which requests targets crashed under. */
export class CrashHistory {
  readonly #byRequest = new Map<string, RequestRecord>();
  #content: string | undefined;

  /** Whether no crash is recorded. */
  get isEmpty(): boolean {
    return this.#byRequest.size === 0;
  }

  /** Digest of the recorded crashes, equal for equal crashes. */
  get content(): string {
    return this.#content ??= this.isEmpty
      ? ""
      : computeDigest([...this.#byRequest].map(formatRecord).sort().join(" "));
  }

  /** Returns the history of all recorded requests. */
  list(): readonly CrashedRequest[] {
    return [...this.#byRequest].map(([request, record]) => ({
      request,
      crashes: [...record.crashes.values()],
      servedAt: toOptional(record.servedAt),
      refusedAt: toOptional(record.refusedAt),
    }));
  }

  /** The recorded requests. */
  get requests(): readonly string[] {
    return [...this.#byRequest.keys()];
  }

  /** Returns the crashes under a request since its last answer, earliest first. */
  getCrashes(request: string): readonly Crash[] {
    const record = this.#byRequest.get(request);
    return record === undefined ? [] : sortByTime(record.crashes);
  }

  /**
   * Returns those of its crashes of which each target was alive after the crash before it.
   */
  getConsecutiveCrashes(request: string): readonly Crash[] {
    const record = this.#byRequest.get(request);
    return record === undefined ? [] : getConsecutiveCrashes(record);
  }

  /** When a request was last answered; negative infinity if that is not known. */
  getServedAt(request: string): number {
    return this.#byRequest.get(request)?.servedAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether an entry has decided to refuse a request since it was last answered. */
  isRefused(request: string): boolean {
    const record = this.#byRequest.get(request);
    return record !== undefined && record.refusedAt > record.servedAt;
  }

  /** Records the decision to refuse a request until it is answered. */
  recordRefused(request: string, refusedAt: number): void {
    this.merge([{ request, crashes: [], refusedAt }], refusedAt);
  }

  /** Whether a target has crashed under a request since its last answer. */
  hasCrashes(request: string): boolean {
    return (this.#byRequest.get(request)?.crashes.size ?? 0) > 0;
  }

  /**
   * Returns the milliseconds for which a request remains refused; 0 if it may run.
   *
   * @example
   * ```ts
   * if (history.getRemainingRefusalMs(digest, now) > 0) refuse();
   * ```
   */
  getRemainingRefusalMs(request: string, now: number): number {
    const record = this.#byRequest.get(request);
    if (record === undefined) return 0;
    const streak = getConsecutiveCrashes(record);
    const last = streak.at(-1);
    if (last === undefined || streak.length < CRASHES_TO_REFUSE) return 0;
    const extraCrashes = Math.min(streak.length, MAX_COUNTED_CRASHES) -
      CRASHES_TO_REFUSE;
    const until = last.endedAt +
      REFUSED_MS * REFUSAL_GROWTH_FACTOR ** extraCrashes;
    return Math.max(0, until - now);
  }

  /** Returns the targets that crashed under requests that are refused for that. */
  listRefusedTargets(now: number): readonly string[] {
    return this.requests
      .filter((request) => this.getRemainingRefusalMs(request, now) > 0)
      .flatMap((request) => this.getCrashes(request))
      .map(({ target }) => target);
  }

  /** Records a crash; returns whether it is new. */
  record(request: string, crash: Crash, now: number): boolean {
    const isKnown = this.#has(request, crash);
    this.#mergeAll([{ request, crashes: [crash] }], now);
    return !isKnown && this.#has(request, crash);
  }

  /**
   * Records an answer, which clears the request's earlier crashes; returns whether the
   * history changed.
   */
  recordServed(request: string, servedAt: number): boolean {
    if (!this.hasCrashes(request)) return false;
    return this.merge([{ request, crashes: [], servedAt }], servedAt);
  }

  /** Merges the history of another process; returns whether the local one changed. */
  merge(received: readonly CrashedRequest[], now: number): boolean {
    const previous = this.content;
    this.#mergeAll(received, now);
    return this.content !== previous;
  }

  #has(request: string, { target }: Crash): boolean {
    return this.#byRequest.get(request)?.crashes.has(target) ?? false;
  }

  #mergeAll(received: readonly CrashedRequest[], now: number): void {
    for (const history of received) this.#mergeOne(history, now);
    this.#evictExpired(now);
    while (this.#byRequest.size > MAX_REQUESTS) this.#evictLeastSuspect();
    this.#content = undefined;
  }

  #mergeOne(received: CrashedRequest, now: number): void {
    const { request, crashes, servedAt, refusedAt } = received;
    const record = this.#byRequest.get(request) ?? createRecord();
    this.#byRequest.set(request, record);
    record.servedAt = Math.max(record.servedAt, servedAt ?? record.servedAt);
    record.refusedAt = Math.max(
      record.refusedAt,
      refusedAt ?? record.refusedAt,
    );
    for (const crash of crashes) {
      // Delivery delay makes a crash appear later than it was, so the earliest time is
      // kept.
      const known = record.crashes.get(crash.target);
      const isLater = known !== undefined && known.endedAt <= crash.endedAt;
      if (isLater || now - crash.endedAt >= REFUSED_RETENTION_MS) continue;
      record.crashes.set(crash.target, crash);
    }
    for (const { target, endedAt } of [...record.crashes.values()]) {
      if (endedAt <= record.servedAt) record.crashes.delete(target);
    }
    while (record.crashes.size > MAX_CRASHES) evictOldest(record.crashes);
  }

  #evictExpired(now: number): void {
    for (const [request, record] of this.#byRequest) {
      const isSuspect =
        getConsecutiveCrashes(record).length < CRASHES_TO_REFUSE;
      const keptMs = isSuspect ? SUSPECT_RETENTION_MS : REFUSED_RETENTION_MS;
      if (now - getNewestTime(record) < keptMs) continue;
      this.#byRequest.delete(request);
      this.#content = undefined;
    }
  }

  /**
   * Evicts the least suspect request: the one with the fewest consecutive crashes, then
   * the oldest. Ties are broken by digest, so that all entries evict the same request and
   * do not replicate evicted ones back and forth.
   */
  #evictLeastSuspect(): void {
    const candidates = [...this.#byRequest].map(([request, record]) => ({
      request,
      crashes: getConsecutiveCrashes(record).length,
      newestAt: getNewestTime(record),
    }));
    const [evicted] = candidates.sort((left, right) =>
      left.crashes - right.crashes || left.newestAt - right.newestAt ||
      (left.request < right.request ? -1 : 1)
    );
    if (evicted !== undefined) this.#byRequest.delete(evicted.request);
  }
}

function createRecord(): RequestRecord {
  return {
    crashes: new Map(),
    servedAt: Number.NEGATIVE_INFINITY,
    refusedAt: Number.NEGATIVE_INFINITY,
  };
}

function toOptional(time: number): number | undefined {
  return Number.isFinite(time) ? time : undefined;
}

/**
 * Returns the consecutive crashes: each of these targets was alive after the crash before
 * it.
 */
function getConsecutiveCrashes({ crashes }: RequestRecord): readonly Crash[] {
  const streak: Crash[] = [];
  for (const crash of sortByTime(crashes)) {
    const previous = streak.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
    if (crash.aliveAt >= previous) streak.push(crash);
  }
  return streak;
}

function getNewestTime({ crashes, servedAt }: RequestRecord): number {
  const ends = [...crashes.values()].map(({ endedAt }) => endedAt);
  return Math.max(servedAt, ...ends);
}

function evictOldest(crashes: Map<string, Crash>): void {
  const [oldest] = sortByTime(crashes);
  if (oldest !== undefined) crashes.delete(oldest.target);
}

function sortByTime(crashes: ReadonlyMap<string, Crash>): readonly Crash[] {
  return [...crashes.values()]
    .sort((left, right) => left.endedAt - right.endedAt);
}

function formatRecord(
  [request, { crashes, servedAt, refusedAt }]: [string, RequestRecord],
) {
  const targets = [...crashes.keys()].sort().join(",");
  const served = Number.isFinite(servedAt) ? "+" : "";
  return `${request}:${targets}${served}${refusedAt > servedAt ? "!" : ""}`;
}

function computeDigest(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}
