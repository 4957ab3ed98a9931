/**
 * A call to the back end and the messages of its answer.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type {
  AnswerDataMessage,
  AnswerEndMessage,
  AnswerHeadMessage,
  Header,
} from "../messages/types.ts";
import type { KeptAnswer } from "./key_ledger.ts";

/** Number of gathered bytes at which they are sent without further delay. */
const MAX_GATHERED_BYTES = 16_384;

/** The attempt for which a run was started. */
export interface RunOwner {
  readonly linkId: number;
  readonly requestId: number;
  readonly attempt: number;
}

/** Options of a {@link Run}. */
export interface RunOptions {
  readonly id: number;
  readonly owner: RunOwner;
  /** Fingerprint of the idempotency key. */
  readonly fingerprint?: string;
  /** Settings path of the request's service. */
  readonly service: string;
  readonly startedAt: number;
  /** Maximum length of an answer that is retained for a key, in bytes. */
  readonly keptAnswerBytes: number;
  /** Milliseconds for which chunks of an answer are gathered. */
  readonly gatherMs: number;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Load of the target. */
export interface TargetLoad {
  readonly queued: number;
  readonly running: number;
}

/** A call to the back end. */
export class Run {
  readonly #options: RunOptions;
  readonly #kept: Uint8Array[] = [];
  #head: AnswerHead | undefined;
  #gathered: Uint8Array[] = [];
  #gatheredBytes = 0;
  #gatheredAt = Number.NEGATIVE_INFINITY;
  #sequence = 0;
  #byteCount = 0;
  #isAbandoned = false;

  /** Creates a run without an answer. */
  constructor(options: RunOptions) {
    this.#options = options;
  }

  /** Identifies the run at this target. */
  get id(): number {
    return this.#options.id;
  }

  /** The attempt for which the run was started. */
  get owner(): RunOwner {
    return this.#options.owner;
  }

  /** Settings path of the request's service. */
  get service(): string {
    return this.#options.service;
  }

  /** Fingerprint of the idempotency key. */
  get fingerprint(): string | undefined {
    return this.#options.fingerprint;
  }

  /** Time of the call, in monotonic milliseconds. */
  get startedAt(): number {
    return this.#options.startedAt;
  }

  /** Whether no entry waits for the answer any longer. */
  get isAbandoned(): boolean {
    return this.#isAbandoned;
  }

  /** Records that no entry waits for the answer any longer. */
  abandon(): void {
    this.#isAbandoned = true;
  }

  /** Creates the first message of the answer. */
  createHead(head: AnswerHead): AnswerHeadMessage {
    this.#head = head;
    return {
      kind: "answer_head",
      ...this.#createNextIds(),
      status: head.status,
      headers: head.headers,
    };
  }

  /**
   * Adds a chunk of the answer's body. Chunks in quick succession, such as tokens, are
   * gathered into one message; the first chunk is sent immediately.
   *
   * @returns the message that is due now, if any
   */
  addData(bytes: Uint8Array, now: number): AnswerDataMessage | undefined {
    this.#byteCount += bytes.length;
    const isKept = this.#options.fingerprint !== undefined &&
      this.#byteCount <= this.#options.keptAnswerBytes;
    if (isKept) this.#kept.push(bytes);
    this.#gathered.push(bytes);
    this.#gatheredBytes += bytes.length;
    return this.tryFlushDue(now);
  }

  /** Returns a message with the gathered chunks if it is due. */
  tryFlushDue(now: number): AnswerDataMessage | undefined {
    const isDue = now - this.#gatheredAt >= this.#options.gatherMs ||
      this.#gatheredBytes >= MAX_GATHERED_BYTES;
    return isDue ? this.tryFlush(now) : undefined;
  }

  /** Returns a message with the gathered chunks, if any, whether or not it is due. */
  tryFlush(now: number): AnswerDataMessage | undefined {
    if (this.#gathered.length === 0) return undefined;
    const [first] = this.#gathered;
    const bytes = this.#gathered.length === 1
      ? first as Uint8Array
      : Buffer.concat(this.#gathered);
    this.#gathered = [];
    this.#gatheredBytes = 0;
    this.#gatheredAt = now;
    return { kind: "answer_data", ...this.#createNextIds(), bytes };
  }

  /** Creates the last message of the answer. */
  createEnd(load: TargetLoad): AnswerEndMessage {
    return {
      kind: "answer_end",
      ...this.#createNextIds(),
      byteCount: this.#byteCount,
      ...load,
    };
  }

  /** Returns the complete answer, or undefined if it was too large to retain. */
  tryGetKeptAnswer(): KeptAnswer | undefined {
    if (this.#head === undefined) return undefined;
    if (this.#byteCount > this.#options.keptAnswerBytes) return undefined;
    return {
      status: this.#head.status,
      headers: this.#head.headers,
      body: Buffer.concat(this.#kept),
    };
  }

  #createNextIds() {
    const { requestId, attempt } = this.#options.owner;
    return { requestId, attempt, sequence: this.#sequence++ };
  }
}
