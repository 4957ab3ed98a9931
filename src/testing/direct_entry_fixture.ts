/**
 * Drives the reducer of an entry that calls back ends directly, without a target process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { CallerRequest, EntryEffect } from "../entry/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { RankLoadRow } from "../messages/formed_group_types.ts";
import type { Message, SubmitMessage } from "../messages/types.ts";
import {
  createCallerRequest,
  createInstance,
  createRoutes,
  type RouteLines,
} from "./fixtures.ts";

/** Service whose answers are streams that another target can continue. */
export const STREAM_LINES: RouteLines = {
  service: [
    "resumable: true",
    "idempotentMethods: [POST]",
    "retryShare: 1",
    "defaultDeadlineMs: 8000",
    "longestDeadlineMs: 8000",
    "objectiveMs: 400",
    "silenceLimitMs: 2000",
  ],
};
/** Headers of a stream. */
export const STREAM_HEAD = [["content-type", "text/event-stream"]] as const;

/** Creates the reported load of a rank. */
export function createRow(
  id: string,
  changes: Partial<RankLoadRow> = {},
): RankLoadRow {
  return {
    engineAddress: `${id}:80`,
    running: 1,
    queued: 0,
    pace: 1,
    ...changes,
  };
}

/** Creates an event of a stream. */
export function createEvent(id: number): Uint8Array {
  return Buffer.from(`id: ${id}\ndata: x\n\n`);
}

/** An entry that calls the given back ends directly. */
export class DirectFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });

  constructor(ids: readonly string[], lines: RouteLines = {}) {
    this.entry.reduce({
      kind: "settings_in_force",
      now: 0,
      routes: createRoutes(lines),
    });
    this.list(ids.map((id) => createInstance(id)));
  }

  list(instances: readonly BackEndInstance[]): readonly EntryEffect[] {
    return this.entry.reduce({ kind: "instances_listed", now: 0, instances });
  }

  request(changes: Partial<CallerRequest> = {}): readonly EntryEffect[] {
    const request = createCallerRequest(changes);
    return this.entry.reduce({ kind: "request_arrived", now: 0, request });
  }

  receive(targetName: string, message: Message): readonly EntryEffect[] {
    return this.entry.reduce({
      kind: "message_received",
      now: 10,
      targetName,
      message,
    });
  }

  reportLoad(
    loads: readonly RankLoadRow[],
    options: {
      readonly isOpen?: boolean;
      readonly now?: number;
      readonly passMs?: number;
    } = {},
  ): readonly EntryEffect[] {
    return this.entry.reduce({
      kind: "group_load_told",
      now: options.now ?? 0,
      load: {
        pool: "confirm",
        group: "group",
        isOpen: options.isOpen ?? true,
        ageMs: 0,
        passMs: options.passMs,
        loads,
      },
    });
  }

  listRanks(ids: readonly string[]): void {
    this.entry.reduce({
      kind: "ranks_listed",
      ranks: ids.map((id) => ({ engineAddress: `${id}:80`, group: "group" })),
    });
  }

  /** Receives a report from a rank near the entry on whether the group is running. */
  observeGroup(isOpen: boolean, now: number): readonly EntryEffect[] {
    return this.entry.reduce({
      kind: "group_seen",
      now,
      observation: { kind: "group_sight", group: "group", isOpen, ageMs: 0 },
    });
  }

  tick(now: number): readonly EntryEffect[] {
    return this.entry.reduce({ kind: "tick", now });
  }

  /** Starts a stream and receives its events 1 and 2. */
  startStream(submit: SubmitMessage, target: string): void {
    const attempt = { requestId: submit.requestId, attempt: submit.attempt };
    this.receive(target, {
      kind: "answer_head",
      ...attempt,
      sequence: 0,
      status: 200,
      headers: STREAM_HEAD,
    });
    for (const id of [1, 2]) {
      this.receive(target, {
        kind: "answer_data",
        ...attempt,
        sequence: id,
        bytes: createEvent(id),
      });
    }
  }

  /**
   * Receives a whole stream that is framed by nothing but the orderly end of its
   * connection; returns the effects of that end.
   */
  receiveUnframed(
    submit: SubmitMessage,
    target: string,
    chunks: readonly Uint8Array[],
  ): readonly EntryEffect[] {
    const attempt = { requestId: submit.requestId, attempt: submit.attempt };
    this.receive(target, {
      kind: "answer_head",
      ...attempt,
      sequence: 0,
      status: 200,
      headers: STREAM_HEAD,
      endsWithConnection: true,
    });
    chunks.forEach((bytes, index) =>
      this.receive(target, {
        kind: "answer_data",
        ...attempt,
        sequence: index + 1,
        bytes,
      })
    );
    return this.receive(target, {
      kind: "answer_end",
      ...attempt,
      sequence: chunks.length + 1,
      byteCount: chunks.reduce((sum, { length }) => sum + length, 0),
      keptMs: 0,
      queued: 0,
      running: 0,
    });
  }
}

/** An attempt that the entry has sent. */
export interface Sent {
  readonly target: string;
  readonly message: SubmitMessage;
}

/** Returns all attempts among the effects. */
export function getAllSent(effects: readonly EntryEffect[]): readonly Sent[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "submit"
      ? [{ target: effect.targetName, message: effect.message }]
      : []
  );
}

/** Returns the first attempt among the effects; there must be one. */
export function getSent(effects: readonly EntryEffect[]): Sent {
  const [first] = getAllSent(effects);
  assert.ok(first !== undefined, "Nothing was sent");
  return first;
}

/** Returns the first refusal among the effects. */
export function tryGetProblem(effects: readonly EntryEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "refuse_request" ? [effect.problem] : []
  )[0];
}
