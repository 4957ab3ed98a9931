/**
 * `lagoonwharf settings`: reads and changes settings.
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
import { readDeploymentStatus } from "./status_command.ts";

/** Options of {@link runSettings}. */
export interface SettingsCommandOptions {
  readonly entry: string;
  readonly token: string;
  /** Settings path, if the file has no line that names it. */
  readonly path?: string;
  /** Hash of the record that the change is based on, as `show` prints it. */
  readonly base?: string;
  /** Identifier of an earlier change to retry. */
  readonly changeId?: string;
  /** Milliseconds after which `wait` gives up. */
  readonly limitMs: number;
}

/** Line that names the settings path of a file. */
const PATH_COMMENT = /^#\s*path:\s*(\S+)\s*$/m;
/** Line that names the base record; `show` prints it. */
const BASE_COMMENT = /^#\s*base:\s*([0-9a-f]{64})\s*$/m;
const APPLY_ATTEMPTS = 5;
const APPLY_RETRY_DELAY_MS = 500;
const WAIT_POLL_INTERVAL_MS = 250;
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
  commandArguments: readonly string[],
  options: SettingsCommandOptions,
): Promise<ExitCode> {
  const [subcommand, argument] = commandArguments;
  const command = new SettingsCommand(options);
  try {
    return await command.run(subcommand, argument);
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

  async run(subcommand?: string, argument?: string): Promise<ExitCode> {
    if (subcommand === "list") return await this.#list();
    if (argument === undefined) return reportWrongUsage();
    switch (subcommand) {
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
        return reportWrongUsage();
    }
  }

  async #list(): Promise<ExitCode> {
    const answer = await this.#client.get(SETTINGS_PATH);
    if (answer.status !== 200) return reportFailure(answer);
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

  /**
   * Submits a change until its outcome is known. A retry has the same identifier, so it
   * is idempotent.
   */
  async #change(
    path: string,
    text: string | null,
    base: string | undefined,
  ): Promise<ExitCode> {
    const changeId = this.#options.changeId ?? randomUUID();
    const body = { text, changeId, baseRecord: base };
    let isUnsettled = false;
    for (let attempt = 0; attempt < APPLY_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(APPLY_RETRY_DELAY_MS);
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
        "It is unknown whether the change was accepted; retry with " +
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
    if (answer.status !== 409) return reportFailure(answer);
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
    if (answer.status !== 200) return reportFailure(answer);
    const { text, record, revision, author, at } = answer.body;
    print(`# path: ${path}`);
    print(`# base: ${record}`);
    print(`# revision ${revision} by ${author} at ${at}`);
    print(text === null ? "# removed" : stripComments(String(text)));
    return EXIT_CODES.OK;
  }

  async #diff(source: SourceFile): Promise<ExitCode> {
    const answer = await this.#client.get(SETTINGS_PATH + source.path);
    const currentText = answer.status === 200
      ? String(answer.body["text"] ?? "")
      : "";
    const theirs = stripComments(currentText).trimEnd().split("\n");
    const yours = stripComments(source.text).trimEnd().split("\n");
    for (const line of theirs) if (!yours.includes(line)) print(`- ${line}`);
    for (const line of yours) if (!theirs.includes(line)) print(`+ ${line}`);
    return EXIT_CODES.OK;
  }

  async #history(path: string): Promise<ExitCode> {
    const answer = await this.#client.get(HISTORY_PATH + path);
    if (answer.status !== 200) return reportFailure(answer);
    const records = answer.body["records"] as readonly {
      readonly revision: number;
      readonly at: string;
      readonly author: string;
      readonly changeId: string;
      readonly text: string | null;
    }[];
    for (const record of records) {
      const action = record.text === null ? "removed" : "changed";
      print(
        `${record.revision} ${record.at} ${action} by ${record.author} ` +
          `(${record.changeId})`,
      );
    }
    return EXIT_CODES.OK;
  }

  async #wait(revision: number): Promise<ExitCode> {
    if (!Number.isInteger(revision) || revision < 1) return reportWrongUsage();
    const deadline = Date.now() + this.#options.limitMs;
    while (true) {
      const status = await readDeploymentStatus(this.#options);
      const behind = status.filter((row) =>
        row.revision !== undefined && row.revision < revision
      );
      const unknown = status.filter((row) => row.revision === undefined);
      if (behind.length === 0 && unknown.length === 0) {
        print(`revision ${revision} is in force at ${status.length} processes`);
        return EXIT_CODES.OK;
      }
      if (Date.now() >= deadline) {
        for (const row of behind) print(`${row.name}: at ${row.revision}`);
        for (const row of unknown) print(`${row.name}: not asked`);
        return EXIT_CODES.FAILED;
      }
      await sleep(WAIT_POLL_INTERVAL_MS);
    }
  }

  #readSource(file: string): SourceFile {
    const text = readFileSync(file, "utf8");
    const path = this.#options.path ?? PATH_COMMENT.exec(text)?.[1] ?? "";
    const base = this.#options.base ?? BASE_COMMENT.exec(text)?.[1];
    return { file, text, path, base };
  }
}

/** Removes the comments that `show` prints, which are not part of the document. */
function stripComments(text: string): string {
  return text
    .replace(/^# (path|base): .*\n/gm, "")
    .replace(/^# revision \d+ by .*\n/gm, "");
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function reportFailure(answer: AdministrationAnswer): ExitCode {
  process.stderr.write(
    `Refused with status ${answer.status}: ${JSON.stringify(answer.body)}\n`,
  );
  return EXIT_CODES.FAILED;
}

function reportWrongUsage(): ExitCode {
  process.stderr.write("Wrong usage; see `lagoonwharf --help`\n");
  return EXIT_CODES.USAGE;
}
