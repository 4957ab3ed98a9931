/**
 * Checks that names of the users' platform are used only in `platform/`.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const FOLDERS = ["src", "bench", "standins", "scripts"] as const;
/** This file is not checked, as its patterns contain the names. */
const THIS_FILE = "scripts/check_names.ts";

/** Names of headers and calls, in upper or lower case. */
const WIRE_NAMES = new RegExp(
  [
    "kv-(key|range|watch|txn|lease|keep)",
    "x-(expect-instance|response-stamp|not-executed|deadline-ms|tenant)",
    "x-(server-load|request-priority|weights-versions|prompt-prefix)",
  ].join("|"),
  "i",
);
/** Names of keys, fields and environment variables; case-sensitive. */
const FIELD_NAMES =
  /op\/(config|evacuate)|current_rev|gap_aim_ms|slo_ms|max_attempts|api_keys|cold_(left_ms|start_s|per_s)|LAGOONWHARF_SETTINGS/;

function findNames(file: string): readonly string[] {
  return readFileSync(file, "utf8").split("\n").flatMap((line, index) =>
    WIRE_NAMES.test(line) || FIELD_NAMES.test(line)
      ? [`${file}:${index + 1}: ${line.trim()}`]
      : []
  );
}

const findings = FOLDERS.flatMap((folder) =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => join(folder, file))
    .filter((file) => file !== THIS_FILE)
    .flatMap(findNames)
);
for (const finding of findings) {
  process.stderr.write(
    `A name of the platform outside platform/: ${finding}\n`,
  );
}
process.exit(findings.length === 0 ? 0 : 1);
