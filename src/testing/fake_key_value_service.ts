/**
 * Provides a key-value service in memory. A test can delay its calls, refuse them or lose
 * their answers.
 *
 * @module
 */
import {
  type KeyValueEntry,
  KeyValueService,
  KeyValueUnavailableError,
  type SwapOptions,
  type SwapOutcome,
} from "../external/key_value_service.ts";

/** The outcome of one call. */
export type CallOutcome = "answered" | "refused" | "reply_lost";

/** Options of a {@link FakeKeyValueService}. */
export interface FakeKeyValueOptions {
  /** Awaited before and after each call takes effect. */
  readonly delay?: () => Promise<void>;
  /** Chooses the outcome of a call. */
  readonly chooseOutcome?: (key: string) => CallOutcome;
}

/** A key-value service in memory. */
export class FakeKeyValueService extends KeyValueService {
  readonly #options: FakeKeyValueOptions;
  #values = new Map<string, KeyValueEntry>();
  isDown = false;

  /** Creates an empty service. */
  constructor(options: FakeKeyValueOptions = {}) {
    super();
    this.#options = options;
  }

  /** Returns a copy of all values. */
  backUp(): ReadonlyMap<string, KeyValueEntry> {
    return new Map(this.#values);
  }

  /** Restores the values of a backup, with their revisions. */
  restore(values: ReadonlyMap<string, KeyValueEntry>): void {
    this.#values = new Map(values);
  }

  /** Overwrites a value unconditionally. */
  corrupt(key: string, value: string): void {
    const revision = this.#values.get(key)?.revision ?? 0;
    this.#values.set(key, { value, revision: revision + 1 });
  }

  /** Returns a value regardless of simulated faults. */
  tryPeek(key: string): KeyValueEntry | undefined {
    return this.#values.get(key);
  }

  override async tryRead(key: string): Promise<KeyValueEntry | undefined> {
    await this.#options.delay?.();
    const callOutcome = this.#getOutcome(key);
    const entry = this.#values.get(key);
    await this.#options.delay?.();
    if (callOutcome !== "answered") throw new KeyValueUnavailableError("Fault");
    return entry;
  }

  override async compareAndSwap(
    key: string,
    options: SwapOptions,
  ): Promise<SwapOutcome> {
    await this.#options.delay?.();
    const callOutcome = this.#getOutcome(key);
    const outcome = callOutcome === "refused"
      ? undefined
      : this.#swap(key, options);
    await this.#options.delay?.();
    if (outcome === undefined || callOutcome === "reply_lost") {
      return { kind: "unknown", cause: "Fault" };
    }
    return outcome;
  }

  override async watch(key: string): Promise<KeyValueEntry | undefined> {
    return await this.tryRead(key);
  }

  #getOutcome(key: string): CallOutcome {
    if (this.isDown) return "refused";
    return this.#options.chooseOutcome?.(key) ?? "answered";
  }

  #swap(key: string, options: SwapOptions): SwapOutcome {
    const revision = this.#values.get(key)?.revision ?? 0;
    if (revision !== options.expectedRevision) {
      return { kind: "conflict", revision };
    }
    this.#values.set(key, { value: options.value, revision: revision + 1 });
    return { kind: "swapped", revision: revision + 1 };
  }
}
