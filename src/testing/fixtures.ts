/**
 * Messages and settings for tests, complete but for what a test is about.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { RoutingTable } from "../entry/routing_table.ts";
import type { CallerRequest } from "../entry/types.ts";
import type { SubmitMessage } from "../messages/types.ts";
import { checkDocument } from "../settings/check_document.ts";
import type { SettingsDocument } from "../settings/types.ts";

/** One settings document for a test. */
export interface DocumentFixture {
  readonly path: string;
  readonly text: string;
}

/** A submit message. */
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
    priority: "normal",
    weight: 1,
    remainingMs: 60_000,
    keyRetentionMs: 86_400_000,
    ...changes,
  };
}

/** A caller's request. */
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

/** Checked documents; they must have no findings. */
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

/** Routes with one organisation, `andamaq`, and one service at `/confirm`. */
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
