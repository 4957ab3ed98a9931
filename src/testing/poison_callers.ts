/**
 * Simulates callers that send harmless requests, and requests that crash each rank that
 * runs them, because of the whole request or of one part of its prompt.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { RandomSource } from "../core/random_source.ts";
import type { CallerRequest } from "../entry/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { EventQueue } from "./event_queue.ts";
import { createCallerRequest } from "./fixtures.ts";
import type { PoisonFleetOptions, PoisonPart } from "./poison_fleet_types.ts";

/** Milliseconds for which a caller waits for its answer, over all its attempts. */
export const CALLER_DEADLINE_MS = 8000;
/** Milliseconds after which a caller without an answer retries. */
const RETRY_DELAY_MS = 400;
const CALLER_ATTEMPTS = 3;
/** Number of different second parts of harmless prompts. */
const SHARED_PARTS = 60;
/** The part with which all harmless prompts begin. */
const COMMON_PART = "common";
const POISON_PART = "poison";
const POPULAR_PART = "popular";

const CRASH_REASONS: ReadonlySet<RefusalName> = new Set([
  "CRASHES_TARGETS",
  "PROMPT_PART_CRASHES_TARGETS",
]);

interface Call {
  readonly body: string;
  readonly promptParts: readonly string[];
  /** Whether it crashes each rank that runs it. */
  readonly crashes: boolean;
  readonly isPopular: boolean;
  readonly deadlineAt: number;
  attempts: number;
}

/** Options of {@link PoisonCallers}. */
export interface PoisonCallersOptions extends PoisonFleetOptions {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  /** Called with each request that a caller sends. */
  readonly onRequest: (request: CallerRequest) => void;
}

/** Callers of harmless requests, and of requests that crash ranks. */
export class PoisonCallers {
  readonly #options: PoisonCallersOptions;
  readonly #calls = new Map<number, Call>();
  #requests = 0;
  readonly #harmlessAt: number[] = [];
  readonly #servedAt: number[] = [];
  readonly #refusedHarmless = new Set<string>();

  /** Creates callers that have not started. */
  constructor(options: PoisonCallersOptions) {
    this.#options = options;
  }

  /** When harmless requests first arrived, in milliseconds. */
  get harmlessAt(): readonly number[] {
    return this.#harmlessAt;
  }

  /** When requests were answered, in milliseconds. */
  get servedAt(): readonly number[] {
    return this.#servedAt;
  }

  /** Number of harmless requests that were refused as if they crashed ranks. */
  get refusedHarmless(): number {
    return this.#refusedHarmless.size;
  }

  /** Starts sending requests; harmless ones until `end`. */
  start(end: number): void {
    this.#scheduleRequest(end);
    const { poisonRequests } = this.#options;
    for (let poison = 0; poison < poisonRequests; poison++) {
      this.#schedulePoisonRequest(`poison ${poison}`);
    }
    this.#schedulePoisonPart();
  }

  /** Whether a request crashes each rank that runs it. */
  crashesRanks(requestId: number): boolean {
    return this.#calls.get(requestId)?.crashes === true;
  }

  /** Milliseconds until a request is answered; undefined: the usual time. */
  tryGetAnswerMs(requestId: number): number | undefined {
    const isPopular = this.#calls.get(requestId)?.isPopular === true;
    return isPopular ? this.#options.popularPart?.answerAfterMs : undefined;
  }

  /** Records that a request was answered. */
  recordServed(): void {
    this.#servedAt.push(this.#queue.now);
  }

  /** Called when a request was refused; its caller may retry. */
  onRefused(requestId: number, reason: RefusalName): void {
    const call = this.#calls.get(requestId) as Call;
    if (CRASH_REASONS.has(reason) && !call.crashes) {
      this.#refusedHarmless.add(call.body);
    }
    if (call.attempts >= CALLER_ATTEMPTS) return;
    this.#queue.after(RETRY_DELAY_MS, () => this.#send(call));
  }

  #scheduleRequest(end: number): void {
    const { requestsPerSecond } = this.#options;
    this.#queue.after(
      this.#random.nextExponential(1000 / requestsPerSecond),
      () => {
        if (this.#queue.now > end) return;
        const body = `harmless ${this.#harmlessAt.push(this.#queue.now)}`;
        const promptParts = this.#createHarmlessParts();
        this.#send(this.#createCall(body, { crashes: false, promptParts }));
        this.#scheduleRequest(end);
      },
    );
  }

  #schedulePoisonRequest(body: string): void {
    const { poisonIntervalMs } = this.#options;
    this.#repeat(
      this.#random.nextBelow(poisonIntervalMs),
      poisonIntervalMs,
      () => {
        const promptParts = this.#createHarmlessParts();
        const call = this.#createCall(body, { crashes: true, promptParts });
        call.attempts = CALLER_ATTEMPTS;
        this.#send(call);
      },
    );
  }

  #createHarmlessParts(): readonly string[] {
    const { hasPromptParts, poisonPart, popularPart } = this.#options;
    if (!hasPromptParts && !poisonPart && !popularPart) return [];
    const parts = createHarmlessParts(this.#random);
    const isPopular = popularPart !== undefined &&
      this.#random.nextFraction() < popularPart.share;
    return isPopular ? [...parts, POPULAR_PART] : parts;
  }

  /** Sends requests that share a part; each is new, and its caller does not retry. */
  #schedulePoisonPart(): void {
    const { poisonPart } = this.#options;
    if (poisonPart === undefined) return;
    const { at, intervalMs, requests = 1 } = poisonPart;
    this.#repeat(at, intervalMs, () => {
      for (let number = 0; number < requests; number++) {
        const call = this.#createCall(`part ${this.#requests}`, {
          crashes: true,
          promptParts: createPoisonParts(poisonPart, this.#random),
        });
        call.attempts = CALLER_ATTEMPTS;
        this.#send(call);
      }
    });
  }

  #createCall(
    body: string,
    options: Pick<Call, "crashes" | "promptParts">,
  ): Call {
    const deadlineAt = this.#queue.now + CALLER_DEADLINE_MS;
    const isPopular = options.promptParts.includes(POPULAR_PART);
    return { body, ...options, isPopular, deadlineAt, attempts: 0 };
  }

  /** Sends a request to a random entry. */
  #send(call: Call): void {
    const remainingMs = call.deadlineAt - this.#queue.now;
    if (remainingMs <= 0) return;
    call.attempts++;
    const id = ++this.#requests;
    this.#calls.set(id, call);
    this.#options.onRequest(createCallerRequest({
      id,
      body: Buffer.from(call.body),
      promptParts: call.promptParts,
      deadlineMs: remainingMs,
    }));
  }

  #repeat(firstMs: number, intervalMs: number, run: () => void): void {
    this.#queue.after(firstMs, () => {
      run();
      this.#repeat(intervalMs, intervalMs, run);
    });
  }

  get #queue(): EventQueue {
    return this.#options.queue;
  }

  get #random(): RandomSource {
    return this.#options.random;
  }
}

function createHarmlessParts(random: RandomSource): readonly string[] {
  return [COMMON_PART, `shared-${random.nextBelow(SHARED_PARTS)}`];
}

function createPoisonParts(
  { position }: PoisonPart,
  random: RandomSource,
): readonly string[] {
  const parts = [...createHarmlessParts(random)];
  parts.splice(position, 0, POISON_PART);
  return parts;
}
