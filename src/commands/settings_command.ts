/**
 * `lagoonwharf settings`: the operators' way to read and change settings.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { formatDiagnostics } from "../diagnostics/render.ts";
import { checkDocument } from "../settings/check_document.ts";
import {
  type AdministrationAnswer,
  AdministrationClient,
  EntryUnreachableError,
} from "./administration_client.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { readWholeStatus } from "./status_command.ts";

/** Options of {@link runSettings}. */
export interface SettingsCommandOptions {
  readonly entry: string;
  readonly token: string;
  /** Settings path, where the file does not say it. */
  readonly path?: string;
  /** Record that the change was made from, as `show` prints it. */
  readonly base?: string;
  /** Identifier of a change that is asked for again. */
  readonly changeId?: string;
  /** Milliseconds that `wait` waits. */
  readonly limitMs: number;
}

/** First line of a file that says which path it belongs to. */
const PATH_COMMENT = /^#\s*path:\s*(\S+)\s*$/m;
/** First lines of a file that `show` printed. */
const BASE_COMMENT = /^#\s*base:\s*([0-9a-f]{64})\s*$/m;
const APPLY_ATTEMPTS = 5;
const APPLY_PAUSE_MS = 500;
const WAIT_PAUSE_MS = 250;
const SETTINGS_PATH = "/administration/v1/settings";
const HISTORY_PATH = "/administration/v1/history";

/**
 * Runs one of the settings commands.
 *
 * @example
 * ```ts
 * const code = await runSettings(["apply", "confirm.yaml"], options);
 * ```
 */
export async function runSettings(
  words: readonly string[],
  options: SettingsCommandOptions,
): Promise<ExitCode> {
  const [verb, argument] = words;
  const command = new SettingsCommand(options);
  try {
    return await command.run(verb, argument);
  } catch (error) {
    if (!(error instanceof EntryUnreachableError)) throw error;
    process.stderr.write(`The entry did not answer: ${error.message}\n`);
    return EXIT_CODES.FAILED;
  }
}

interface SourceFile {
  readonly file: string;
  readonly text: string;
  readonly path: string;
  readonly base?: string;
}

class SettingsCommand {
  readonly #options: SettingsCommandOptions;
  readonly #client: AdministrationClient;

  constructor(options: SettingsCommandOptions) {
    this.#options = options;
    this.#client = new AdministrationClient({
      address: options.entry,
      token: options.token,
    });
  }

  async run(verb?: string, argument?: string): Promise<ExitCode> {
    if (verb === "list") return await this.#list();
    if (argument === undefined) return usage();
    switch (verb) {
      case "check":
        return this.#check(this.#readSource(argument));
      case "apply":
        return await this.#apply(this.#readSource(argument));
      case "remove":
        return await this.#remove(argument);
      case "show":
        return await this.#show(argument);
      case "diff":
        return await this.#diff(this.#readSource(argument));
      case "history":
        return await this.#history(argument);
      case "wait":
        return await this.#wait(Number(argument));
      default:
        return usage();
    }
  }

  async #list(): Promise<ExitCode> {
    const answer = await this.#client.get(SETTINGS_PATH);
    if (answer.status !== 200) return fail(answer);
    const paths = answer.body["paths"] as readonly string[];
    print(`revision ${answer.body["revision"]}`);
    for (const path of paths) print(path);
    return EXIT_CODES.OK;
  }

  #check(source: SourceFile): ExitCode {
    const checked = checkDocument(source);
    if (checked.isOk()) {
      print(`${source.file}: no findings`);
      return EXIT_CODES.OK;
    }
    process.stderr.write(formatDiagnostics(checked.error, source.text));
    return EXIT_CODES.USAGE;
  }

  async #apply(source: SourceFile): Promise<ExitCode> {
    const code = this.#check(source);
    if (code !== EXIT_CODES.OK) return code;
    return await this.#change(source.path, source.text, source.base);
  }

  async #remove(path: string): Promise<ExitCode> {
    return await this.#change(path, null, this.#options.base);
  }

  /** Asking again with the same identifier is idempotent. */
  async #change(
    path: string,
    text: string | null,
    base: string | undefined,
  ): Promise<ExitCode> {
    const changeId = this.#options.changeId ?? randomUUID();
    const body = { text, changeId, baseRecord: base };
    let isUnsettled = false;
    for (let attempt = 0; attempt < APPLY_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(APPLY_PAUSE_MS);
      const answer = await this.#tryPut(SETTINGS_PATH + path, body);
      if (answer === undefined || answer.body["kind"] === "unsettled") {
        isUnsettled = true;
        continue;
      }
      if (answer.status === 503) continue;
      return this.#reportChange(answer, path, text);
    }
    if (isUnsettled) {
      process.stderr.write(
        "It is not known whether the change was accepted; ask again with " +
          `--change-id ${changeId}\n`,
      );
      return EXIT_CODES.UNSETTLED;
    }
    process.stderr.write("Not accepted: the settings cannot be written now\n");
    return EXIT_CODES.FAILED;
  }

  async #tryPut(
    path: string,
    body: object,
  ): Promise<AdministrationAnswer | undefined> {
    try {
      return await this.#client.put(path, body);
    } catch {
      return undefined;
    }
  }

  #reportChange(
    answer: AdministrationAnswer,
    path: string,
    text: string | null,
  ): ExitCode {
    if (answer.status === 200) {
      print(`accepted ${path} at revision ${answer.body["revision"]}`);
      return EXIT_CODES.OK;
    }
    if (answer.status === 422) {
      process.stderr.write(String(answer.body["rendered"]));
      return EXIT_CODES.USAGE;
    }
    if (answer.status !== 409) return fail(answer);
    const theirs = answer.body["theirs"] as
      | { readonly text: string | null; readonly author: string }
      | undefined;
    process.stderr.write(
      `Conflict: ${path} was changed by ${theirs?.author ?? "nobody"}\n` +
        `--- theirs\n${theirs?.text ?? "(removed)"}\n` +
        `--- yours\n${text ?? "(removed)"}\n`,
    );
    return EXIT_CODES.CONFLICT;
  }

  async #show(path: string): Promise<ExitCode> {
    const answer = await this.#client.get(SETTINGS_PATH + path);
    if (answer.status !== 200) return fail(answer);
    const { text, record, revision, author, at } = answer.body;
    print(`# path: ${path}`);
    print(`# base: ${record}`);
    print(`# revision ${revision} by ${author} at ${at}`);
    print(text === null ? "# removed" : stripComments(String(text)));
    return EXIT_CODES.OK;
  }

  async #diff(source: SourceFile): Promise<ExitCode> {
    const answer = await this.#client.get(SETTINGS_PATH + source.path);
    const held = answer.status === 200 ? String(answer.body["text"] ?? "") : "";
    const theirs = stripComments(held).trimEnd().split("\n");
    const yours = stripComments(source.text).trimEnd().split("\n");
    for (const line of theirs) if (!yours.includes(line)) print(`- ${line}`);
    for (const line of yours) if (!theirs.includes(line)) print(`+ ${line}`);
    return EXIT_CODES.OK;
  }

  async #history(path: string): Promise<ExitCode> {
    const answer = await this.#client.get(HISTORY_PATH + path);
    if (answer.status !== 200) return fail(answer);
    const records = answer.body["records"] as readonly {
      readonly revision: number;
      readonly at: string;
      readonly author: string;
      readonly changeId: string;
      readonly text: string | null;
    }[];
    for (const record of records) {
      const what = record.text === null ? "removed" : "changed";
      print(
        `${record.revision} ${record.at} ${what} by ${record.author} ` +
          `(${record.changeId})`,
      );
    }
    return EXIT_CODES.OK;
  }

  async #wait(revision: number): Promise<ExitCode> {
    if (!Number.isInteger(revision) || revision < 1) return usage();
    const end = Date.now() + this.#options.limitMs;
    while (true) {
      const status = await readWholeStatus(this.#options);
      const behind = status.filter((row) =>
        row.revision !== undefined && row.revision < revision
      );
      const unknown = status.filter((row) => row.revision === undefined);
      if (behind.length === 0 && unknown.length === 0) {
        print(`revision ${revision} is in force at ${status.length} processes`);
        return EXIT_CODES.OK;
      }
      if (Date.now() >= end) {
        for (const row of behind) print(`${row.name}: at ${row.revision}`);
        for (const row of unknown) print(`${row.name}: not asked`);
        return EXIT_CODES.FAILED;
      }
      await sleep(WAIT_PAUSE_MS);
    }
  }

  #readSource(file: string): SourceFile {
    const text = readFileSync(file, "utf8");
    const path = this.#options.path ?? PATH_COMMENT.exec(text)?.[1] ?? "";
    const base = this.#options.base ?? BASE_COMMENT.exec(text)?.[1];
    return { file, text, path, base };
  }
}

/** Comments that `show` writes and `apply` reads are not the document's. */
function stripComments(text: string): string {
  return text
    .replace(/^# (path|base): .*\n/gm, "")
    .replace(/^# revision \d+ by .*\n/gm, "");
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function fail(answer: AdministrationAnswer): ExitCode {
  process.stderr.write(
    `Refused with status ${answer.status}: ${JSON.stringify(answer.body)}\n`,
  );
  return EXIT_CODES.FAILED;
}

function usage(): ExitCode {
  process.stderr.write("Wrong usage; see `lagoonwharf --help`\n");
  return EXIT_CODES.USAGE;
}
