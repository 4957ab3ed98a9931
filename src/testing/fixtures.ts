/**
 * Creates messages and settings for tests. They are complete; a test overrides only the
 * fields that it depends on.
 *
 * @module
 */
import type { OperatorSettings } from "../external/operator_settings.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { RoutingTable } from "../entry/routing_table.ts";
import type { CallerRequest } from "../entry/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type {
  AttemptMessage,
  RefusedMessage,
  SubmitMessage,
} from "../messages/types.ts";
import { DEFAULT_PRIORITY } from "../messages/priority.ts";
import { createSocketAddress } from "./socket_addresses.ts";
import { checkDocument } from "../settings/check_document.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";

/** One settings document for a test. */
export interface DocumentFixture {
  readonly path: string;
  readonly text: string;
}

/** Creates a submit message. */
export function createSubmit(
  changes: Partial<SubmitMessage> = {},
): SubmitMessage {
  return {
    kind: "submit",
    requestId: 1,
    attempt: 1,
    organisation: "andamaq",
    service: "/organisations/andamaq/services/confirm",
    method: "POST",
    path: "/confirm",
    headers: [],
    body: Buffer.from("body"),
    priority: DEFAULT_PRIORITY,
    weight: 1,
    remainingMs: 60_000,
    keyRetentionMs: 86_400_000,
    ...changes,
  };
}

/** Fields of a back end, whose address may be any text. */
type InstanceFields = Omit<BackEndInstance, "address"> & {
  readonly address: string;
};

/** Creates a serving back end, named by its id, in the pool of {@link createRoutes}. */
export function createInstance(
  id: string,
  changes: Partial<InstanceFields> = {},
): BackEndInstance {
  const { address = `${id}:80`, ...others } = changes;
  return {
    id,
    name: id,
    address: createSocketAddress(address),
    pool: "confirm",
    failureDomain: "a",
    concurrency: 8,
    state: "serving",
    ...others,
  };
}

/** Identifies the attempt that a message belongs to. */
export type AttemptIdentity = Pick<AttemptMessage, "requestId" | "attempt">;

/**
 * Creates the notice that a back end sends with an answer; each field is `none` by
 * default.
 */
export function createNotice(
  changes: Partial<BackEndNotice> = {},
): BackEndNotice {
  const none = { kind: "none" } as const;
  return { rateLimit: none, backoff: none, leaving: none, ...changes };
}

/**
 * Creates the messages of a complete answer without a body, after which the back end
 * closes its connection.
 */
export function createEmptyAnswer(
  attemptId: AttemptIdentity,
): readonly AttemptMessage[] {
  const { requestId, attempt } = attemptId;
  return [
    {
      kind: "answer_head",
      requestId,
      attempt,
      sequence: 0,
      status: 200,
      headers: [["content-length", "0"]],
    },
    {
      kind: "answer_end",
      requestId,
      attempt,
      sequence: 1,
      byteCount: 0,
      keptMs: 0,
      queued: 0,
      running: 0,
    },
  ];
}

/** Creates the message of an attempt that its back end did not answer. */
export function createRefused(
  attemptId: AttemptIdentity,
  reason: RefusedMessage["reason"],
): RefusedMessage {
  const { requestId, attempt } = attemptId;
  const submission = reason === "BACK_END_FAILED" ? "unknown" : "not-run";
  return {
    kind: "refused",
    requestId,
    attempt,
    reason,
    outcome: submission,
    submission,
  };
}

/** Creates a caller's request. */
export function createCallerRequest(
  changes: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    id: 1,
    method: "POST",
    path: "/confirm",
    headers: [],
    body: Buffer.from("body"),
    ...changes,
  };
}

/** Checks documents; they must have no findings. */
export function createDocuments(
  fixtures: readonly DocumentFixture[],
): ReadonlyMap<string, SettingsDocument> {
  const documents = new Map<string, SettingsDocument>();
  for (const { path, text } of fixtures) {
    const checked = checkDocument({ path, text, file: path });
    assert.ok(checked.isOk(), `The fixture at ${path} has findings`);
    documents.set(path, checked.value);
  }
  return documents;
}

/** Lines that a test adds to the documents of {@link createRoutes}. */
export interface RouteLines {
  readonly service?: readonly string[];
  readonly organisation?: readonly string[];
}

/** Creates routes with one organisation, `andamaq`, and one service at `/confirm`. */
export function createRoutes(lines: RouteLines = {}): RoutingTable {
  const service = [
    "kind: service",
    "pathPrefix: /confirm",
    "pool: confirm",
    ...lines.service ?? [],
  ];
  const organisation = ["kind: organisation", ...lines.organisation ?? []];
  const documents = createDocuments([
    { path: "/organisations/andamaq", text: organisation.join("\n") },
    {
      path: "/organisations/andamaq/services/confirm",
      text: service.join("\n"),
    },
  ]);
  return new RoutingTable(documents);
}

/** Creates operators' settings without documents. */
export function createOperatorSettings(version: number): OperatorSettings {
  return {
    version,
    documents: new Map(),
    callerLimits: {
      maxHeadBytes: 16_384,
      headTimeoutMs: 5000,
      maxBodyBytes: 1000,
      idleLimitMs: 1000,
    },
    pools: new Set(),
    groups: new Map(),
  };
}
