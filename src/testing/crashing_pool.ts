/**
 * Simulates a pool of targets behind one entry, in virtual time. A test makes targets
 * crash, stop answering, leave and be replaced.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect } from "../entry/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { AttemptMessage } from "../messages/types.ts";
import type { CrashedRequest } from "../policy/crash_history.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import {
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";

/** An attempt that the entry has sent. */
export interface SentAttempt {
  readonly requestId: number;
  readonly attempt: number;
  readonly target: string;
}

/** A pool of targets behind one entry. */
export class CrashingPool {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });
  now = 0;
  #lastRequestId = 0;
  #startedTargets = 0;
  #instances: readonly BackEndInstance[] = [];
  #effects: readonly EntryEffect[] = [];

  /**
   * Starts with a number of serving targets; `lines` are added to the service's settings.
   */
  constructor(targets: number, lines: readonly string[] = []) {
    this.entry.reduce({
      kind: "settings_in_force",
      now: 0,
      routes: createRoutes({ service: ["retryShare: 1", ...lines] }),
    });
    for (let number = 0; number < targets; number++) this.#addTarget(number);
    this.#publishInstances();
  }

  /** Names of the listed targets. */
  get targets(): readonly string[] {
    return this.#instances.map(({ id }) => id);
  }

  /** Why the last event made the entry refuse a request, if it did. */
  get refusalReason(): RefusalName | undefined {
    for (const effect of this.#effects) {
      if (effect.kind === "refuse_request") {
        return effect.problem.reason as RefusalName;
      }
    }
    return undefined;
  }

  /** Attempts that the entry sent because of the last event. */
  get sentAttempts(): readonly SentAttempt[] {
    return this.#effects.flatMap((effect) => {
      if (effect.kind !== "send" || effect.message.kind !== "submit") return [];
      const { requestId, attempt } = effect.message;
      return [{ requestId, attempt, target: effect.targetName }];
    });
  }

  /** The crashed requests that the entry has recorded. */
  get crashedRequests(): readonly CrashedRequest[] {
    return this.entry.crashes.list();
  }

  /** Advances the virtual time. */
  advance(milliseconds: number): void {
    this.now += milliseconds;
    this.#reduce({ kind: "tick", now: this.now });
  }

  /** Sends a request with this body to the entry, which must send an attempt. */
  send(body: string, promptParts: readonly string[] = []): SentAttempt {
    this.receive(body, promptParts);
    const [sent] = this.sentAttempts;
    assert.ok(sent !== undefined, `Refused: ${this.refusalReason}`);
    return sent;
  }

  /** Sends a request with this body to the entry. */
  receive(body: string, promptParts: readonly string[] = []): void {
    const request = createCallerRequest({
      id: ++this.#lastRequestId,
      body: Buffer.from(body),
      promptParts,
    });
    this.#reduce({ kind: "request_arrived", now: this.now, request });
  }

  /** Breaks the connection of an attempt. */
  break(sent: SentAttempt): void {
    this.#receiveMessage(sent, createRefused(sent, "BACK_END_FAILED"));
  }

  /** Answers an attempt as another instance at the target's address does. */
  rejectAsWrongInstance(sent: SentAttempt): void {
    this.#receiveMessage(sent, createRefused(sent, "WRONG_INSTANCE"));
  }

  /** Answers an attempt. */
  answer(sent: SentAttempt): void {
    for (const message of createEmptyAnswer(sent)) {
      this.#receiveMessage(sent, message);
    }
  }

  /** Answers an attempt without a length, so that its end may be that of the target. */
  answerUnframed(sent: SentAttempt): void {
    const [head, end] = createEmptyAnswer(sent);
    if (head?.kind !== "answer_head" || end === undefined) return;
    const unframed = { ...head, headers: [], endsWithConnection: true };
    this.#receiveMessage(sent, unframed);
    this.#receiveMessage(sent, end);
  }

  /** Disconnects the caller of an attempt. */
  disconnectCaller({ requestId }: SentAttempt): void {
    this.#reduce({ kind: "caller_gone", now: this.now, requestId });
  }

  /** Removes a target and adds another one at its address. */
  replace(target: string): void {
    const index = this.#instances.findIndex(({ id }) => id === target);
    this.#instances = this.#instances.filter(({ id }) => id !== target);
    this.#addTarget(index);
    this.#publishInstances();
  }

  /** Lists a target as leaving. */
  startLeaving(target: string): void {
    this.#instances = this.#instances.map((instance) =>
      instance.id === target ? { ...instance, state: "leaving" } : instance
    );
    this.#publishInstances();
  }

  /** Lists a target as leaving, then replaces it. */
  retire(target: string): void {
    this.startLeaving(target);
    this.replace(target);
  }

  /** Delivers the crashed requests that another entry has recorded. */
  mergeCrashes(requests: readonly CrashedRequest[]): void {
    this.#reduce({ kind: "crashes_told", now: this.now, requests });
  }

  #addTarget(number: number): void {
    const id = `target-${++this.#startedTargets}`;
    const instance = createInstance(id, { address: `address-${number}:80` });
    this.#instances = [...this.#instances, instance];
  }

  #receiveMessage({ target }: SentAttempt, message: AttemptMessage): void {
    this.#reduce({
      kind: "message_received",
      now: this.now,
      targetName: target,
      message,
    });
  }

  #publishInstances(): void {
    const instances = this.#instances;
    this.#reduce({ kind: "instances_listed", now: this.now, instances });
  }

  #reduce(event: Parameters<EntryReducer["reduce"]>[0]): void {
    this.#effects = this.entry.reduce(event);
  }
}
