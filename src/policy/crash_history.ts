/**
 * Remembers under which requests targets have ended, to refuse a request that ends each
 * target that begins to run it (a poison request).
 *
 * The pattern: a target ends, its caller gets no answer and sends the same request again,
 * the next target ends. Each may take its whole rank group with it for seconds. All that ran
 * beside it looks the same after one crash, and a loss of power or of a rack ends many
 * targets at once. What tells the cause apart is the order: it was sent again after a target
 * had ended under it, to one that lived, and that one ended, too; and nobody has seen it
 * answered in between.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Crashes in a row after which a request is refused. */
const CRASHES_TO_REFUSE = 2;
/**
 * Milliseconds for which a request is refused after that; so much longer with each crash
 * more. Once the time is over it may run again: what crashed may have been mended, or
 * another cause may have ended the targets.
 */
const REFUSED_MS = 60_000;
const LONGER_EACH_TIME = 4;
/** Crashes beyond which the time grows no more. */
const MOST_COUNTED = 6;
/** Milliseconds for which crashes of a request that was refused are kept. */
const KEPT_MS = 3_600_000;
/** The same where one target ended, as it does under all that ran beside the cause. */
const SUSPECTED_MS = 120_000;
/** Requests that are remembered: those that ran at some targets when these crashed. */
const MOST_REQUESTS = 256;
/** Crashes of one request that are remembered. */
const MOST_CRASHES = 8;

/** A target that ended under a request. Times are in milliseconds of the own clock. */
export interface Crash {
  readonly target: string;
  /**
   * When the target was last known to live before it crashed: when the request was sent to
   * it, or earlier if it gave no sign of life since.
   */
  readonly aliveAt: number;
  /** When the attempt there ended without an answer. */
  readonly endedAt: number;
}

/** What is remembered of one request. */
export interface CrashedRequest {
  /** Digest of the request. */
  readonly request: string;
  readonly crashes: readonly Crash[];
  /** When it was last seen answered after a crash, if it ever was. */
  readonly servedAt?: number;
}

interface RequestRecord {
  readonly crashes: Map<string, Crash>;
  servedAt: number;
}

/** Remembers under which requests targets have ended. */
export class CrashHistory {
  readonly #byRequest = new Map<string, RequestRecord>();
  #content: string | undefined;

  /** Whether no target is known to have ended under any request. */
  get isEmpty(): boolean {
    return this.#byRequest.size === 0;
  }

  /** What is remembered, in short: the same for the same crashes. */
  get content(): string {
    return this.#content ??= this.isEmpty
      ? ""
      : hash([...this.#byRequest].map(describe).sort().join(" "));
  }

  /** Everything that is remembered. */
  list(): readonly CrashedRequest[] {
    return [...this.#byRequest].map(([request, { crashes, servedAt }]) => ({
      request,
      crashes: [...crashes.values()],
      servedAt: Number.isFinite(servedAt) ? servedAt : undefined,
    }));
  }

  /** Whether a target has ended under a request since it was last answered. */
  hasCrashed(request: string): boolean {
    return (this.#byRequest.get(request)?.crashes.size ?? 0) > 0;
  }

  /**
   * Milliseconds for which a request is refused yet; 0: it may run.
   *
   * @example
   * ```ts
   * if (history.getRefusedMs(digest, now) > 0) refuse();
   * ```
   */
  getRefusedMs(request: string, now: number): number {
    const record = this.#byRequest.get(request);
    if (record === undefined) return 0;
    const row = crashesInRow(record);
    const last = row.at(-1);
    if (last === undefined || row.length < CRASHES_TO_REFUSE) return 0;
    const more = Math.min(row.length, MOST_COUNTED) - CRASHES_TO_REFUSE;
    const until = last.endedAt + REFUSED_MS * LONGER_EACH_TIME ** more;
    return Math.max(0, until - now);
  }

  /** Takes in a crash; returns whether it is news. */
  note(request: string, crash: Crash, now: number): boolean {
    const isKnown = this.#has(request, crash);
    this.#take([{ request, crashes: [crash] }], now);
    return !isKnown && this.#has(request, crash);
  }

  /** A request was answered, so it ended nothing before; returns whether that is news. */
  noteServed(request: string, servedAt: number): boolean {
    if (!this.hasCrashed(request)) return false;
    return this.merge([{ request, crashes: [], servedAt }], servedAt);
  }

  /** Takes in what another process remembers; returns whether it is news. */
  merge(told: readonly CrashedRequest[], now: number): boolean {
    const before = this.content;
    this.#take(told, now);
    return this.content !== before;
  }

  #has(request: string, { target }: Crash): boolean {
    return this.#byRequest.get(request)?.crashes.has(target) ?? false;
  }

  #take(told: readonly CrashedRequest[], now: number): void {
    for (const one of told) this.#mergeOne(one, now);
    this.#forgetOld(now);
    while (this.#byRequest.size > MOST_REQUESTS) this.#dropLeast();
    this.#content = undefined;
  }

  #mergeOne({ request, crashes, servedAt }: CrashedRequest, now: number): void {
    const record = this.#byRequest.get(request) ?? createRecord();
    this.#byRequest.set(request, record);
    record.servedAt = Math.max(record.servedAt, servedAt ?? record.servedAt);
    for (const crash of crashes) {
      // A word that was long on its way makes a crash look later than it was.
      const known = record.crashes.get(crash.target);
      const isLater = known !== undefined && known.endedAt <= crash.endedAt;
      if (isLater || now - crash.endedAt >= KEPT_MS) continue;
      record.crashes.set(crash.target, crash);
    }
    for (const { target, endedAt } of [...record.crashes.values()]) {
      if (endedAt <= record.servedAt) record.crashes.delete(target);
    }
    while (record.crashes.size > MOST_CRASHES) dropOldest(record.crashes);
  }

  #forgetOld(now: number): void {
    for (const [request, record] of this.#byRequest) {
      const isSuspected = crashesInRow(record).length < CRASHES_TO_REFUSE;
      const keptMs = isSuspected ? SUSPECTED_MS : KEPT_MS;
      if (now - newestOf(record) < keptMs) continue;
      this.#byRequest.delete(request);
      this.#content = undefined;
    }
  }

  /**
   * One that ended a single target, the longest ago, may be a coincidence. All entries drop
   * the same of those that end at once, or they would tell each other of them for ever.
   */
  #dropLeast(): void {
    const rows = [...this.#byRequest].map(([request, record]) => ({
      request,
      crashes: crashesInRow(record).length,
      newestAt: newestOf(record),
    }));
    const [least] = rows.sort((left, right) =>
      left.crashes - right.crashes || left.newestAt - right.newestAt ||
      (left.request < right.request ? -1 : 1)
    );
    if (least !== undefined) this.#byRequest.delete(least.request);
  }
}

function createRecord(): RequestRecord {
  return { crashes: new Map(), servedAt: Number.NEGATIVE_INFINITY };
}

/** Crashes of targets each of which lived after the request had ended the one before. */
function crashesInRow({ crashes }: RequestRecord): readonly Crash[] {
  const row: Crash[] = [];
  for (const crash of byTimeOf(crashes)) {
    const before = row.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
    if (crash.aliveAt >= before) row.push(crash);
  }
  return row;
}

function newestOf({ crashes, servedAt }: RequestRecord): number {
  const ends = [...crashes.values()].map(({ endedAt }) => endedAt);
  return Math.max(servedAt, ...ends);
}

function dropOldest(crashes: Map<string, Crash>): void {
  const [oldest] = byTimeOf(crashes);
  if (oldest !== undefined) crashes.delete(oldest.target);
}

function byTimeOf(crashes: ReadonlyMap<string, Crash>): readonly Crash[] {
  return [...crashes.values()]
    .sort((left, right) => left.endedAt - right.endedAt);
}

function describe([request, { crashes, servedAt }]: [string, RequestRecord]) {
  const targets = [...crashes.keys()].sort().join(",");
  return `${request}:${targets}${Number.isFinite(servedAt) ? "+" : ""}`;
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}
