/**
 * The administration API that every entry serves; docs/ADMINISTRATION_API.md
 * describes it.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { type Context, Hono } from "hono";
import { match, P } from "ts-pattern";
import * as z from "zod";
import {
  formatDiagnostics,
  formatDiagnosticText,
  sortAndDeduplicate,
} from "../diagnostics/render.ts";
import type { Diagnostic } from "../diagnostics/types.ts";
import type { Metrics } from "../process/metrics.ts";
import { checkDocument, tryGetKindOfPath } from "../settings/check_document.ts";
import { checkAgainstTree } from "../settings/check_tree.ts";
import type { ChangeOutcome } from "../settings/settings_writer.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** Path prefix of the settings documents in the administration API. */
export const SETTINGS_PREFIX = "/administration/v1/settings";
const HISTORY_PREFIX = "/administration/v1/history";
const MAX_HISTORY_RECORDS = 100;

const CHANGE_SCHEMA = z.strictObject({
  text: z.string().nullable(),
  changeId: z.string().min(8).max(100),
  /** Record that the change is based on; null: the path must not exist yet. */
  baseRecord: z.string().nullable().optional(),
});

/** Options of {@link createAdministrationApplication}. */
export interface AdministrationOptions {
  readonly processName: string;
  readonly administratorTokenSha256?: string;
  readonly settings: EntrySettings;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  readonly readStatus: () => Promise<object>;
}

/** Creates the application with all its routes. */
export function createAdministrationApplication(
  options: AdministrationOptions,
): Hono {
  const app = new Hono();
  const handlers = new AdministrationHandlers(options);
  app.get("/healthz", (context) => context.text("ok\n"));
  app.get(
    "/readyz",
    (context) =>
      options.isReady()
        ? context.text("ready\n")
        : context.text("not ready\n", 503),
  );
  app.get(
    "/metrics",
    async (context) => context.text(await options.metrics.page()),
  );
  app.get(
    "/administration/v1/status",
    async (context) => context.json(await options.readStatus()),
  );
  app.get(SETTINGS_PREFIX, (context) => handlers.list(context));
  app.get(`${SETTINGS_PREFIX}/*`, (context) => handlers.show(context));
  app.put(`${SETTINGS_PREFIX}/*`, (context) => handlers.change(context));
  app.get(`${HISTORY_PREFIX}/*`, (context) => handlers.history(context));
  return app;
}

class AdministrationHandlers {
  readonly #options: AdministrationOptions;

  constructor(options: AdministrationOptions) {
    this.#options = options;
  }

  list(context: Context): Response {
    const author = this.#tryAuthor(context, "/");
    if (author === undefined) return refuse(context, 403, "FORBIDDEN");
    const { keeper } = this.#options.settings;
    const paths = [...keeper.snapshot?.documents.keys() ?? []].sort();
    return context.json({ revision: keeper.revision, paths });
  }

  async show(context: Context): Promise<Response> {
    const path = pathOf(context, SETTINGS_PREFIX);
    if (this.#tryAuthor(context, path) === undefined) {
      return refuse(context, 403, "FORBIDDEN");
    }
    const { settings } = this.#options;
    const hash = settings.keeper.snapshot?.tree.tryGet(path);
    const record = await settings.tryReadRecord(path);
    if (record === undefined) return refuse(context, 404, "NO_SUCH_PATH");
    return context.json({ ...record, record: hash });
  }

  async history(context: Context): Promise<Response> {
    const path = pathOf(context, HISTORY_PREFIX);
    if (this.#tryAuthor(context, path) === undefined) {
      return refuse(context, 403, "FORBIDDEN");
    }
    const { settings } = this.#options;
    const records = [];
    let record = await settings.tryReadRecord(path);
    while (record !== undefined && records.length < MAX_HISTORY_RECORDS) {
      records.push(record);
      if (record.previous === null) break;
      record = await settings.tryReadRecordByHash(record.previous);
    }
    return context.json({ records });
  }

  async change(context: Context): Promise<Response> {
    const path = pathOf(context, SETTINGS_PREFIX);
    const author = this.#tryAuthor(context, path);
    if (author === undefined) return refuse(context, 403, "FORBIDDEN");
    const change = CHANGE_SCHEMA.safeParse(await tryReadJson(context));
    if (!change.success) return refuse(context, 400, "MALFORMED_CHANGE");
    if (tryGetKindOfPath(path) === undefined) {
      return refuse(context, 400, "NO_SETTINGS_PATH");
    }
    const { text } = change.data;
    const findings = text === null ? [] : this.#findingsOf(path, text);
    if (findings.length > 0) return refuseFindings(context, findings, text);
    const { settings } = this.#options;
    const outcome = await settings.write({
      path,
      ...change.data,
      baseRecord: change.data.baseRecord,
      author,
      at: new Date().toISOString(),
      minRevision: settings.keeper.revision,
    });
    return respond(context, outcome);
  }

  #findingsOf(path: string, text: string): readonly Diagnostic[] {
    const source = { path, text, file: path };
    const checked = checkDocument(source);
    if (checked.isErr()) return checked.error;
    const others = this.#documents();
    return checkAgainstTree({ ...source, document: checked.value }, others);
  }

  #documents(): ReadonlyMap<string, SettingsDocument> {
    const { snapshot } = this.#options.settings.keeper;
    return snapshot?.documents ?? new Map();
  }

  /** Returns the owner of the request's token, if the owner may access the path. */
  #tryAuthor(context: Context, path: string): string | undefined {
    const header = context.req.header("authorization") ?? "";
    const token = header.replace(/^Bearer /, "");
    const hash = createHash("sha256").update(token).digest("hex");
    const administrator = this.#options.administratorTokenSha256;
    if (administrator !== undefined && isSame(hash, administrator)) {
      return "administrator";
    }
    for (const [teamPath, document] of this.#documents()) {
      if (document.kind !== "team") continue;
      if (!isSame(hash, document.tokenSha256)) continue;
      if (isWithin(path, document.subtree)) return teamPath;
    }
    return undefined;
  }
}

function isSame(left: string, right: string): boolean {
  return left.length === right.length &&
    timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/** Whether a team may access a path: within its subtree, but never the list of teams. */
function isWithin(path: string, subtree: string): boolean {
  if (path.startsWith("/teams")) return false;
  return subtree === "/" || path === subtree || path.startsWith(`${subtree}/`);
}

function pathOf(context: Context, prefix: string): string {
  return decodeURIComponent(context.req.path.slice(prefix.length));
}

async function tryReadJson(context: Context): Promise<unknown> {
  try {
    return await context.req.json();
  } catch {
    return undefined;
  }
}

function respond(context: Context, outcome: ChangeOutcome): Response {
  return match(outcome)
    .with(
      { kind: "accepted" },
      ({ kind, revision, record }) => context.json({ kind, revision, record }),
    )
    .with({ kind: "conflict" }, (conflict) => context.json(conflict, 409))
    .with({ kind: "behind" }, (behind) => context.json(behind, 503))
    .with({ kind: P.union("unavailable", "unsettled") }, (pending) => {
      context.header("retry-after", "2");
      return context.json(pending, 503);
    })
    .exhaustive();
}

function refuse(
  context: Context,
  status: 400 | 403 | 404,
  kind: string,
): Response {
  return context.json({ kind }, status);
}

function refuseFindings(
  context: Context,
  findings: readonly Diagnostic[],
  text: string | null,
): Response {
  return context.json({
    kind: "findings",
    findings: sortAndDeduplicate(findings).map((finding) => ({
      ...finding,
      message: formatDiagnosticText(finding),
    })),
    rendered: formatDiagnostics(findings, text ?? ""),
  }, 422);
}
