/**
 * All findings for settings documents and process settings, by name and number. A
 * number is never reused.
 *
 * @module
 */
import type { DiagnosticMessage } from "./message.ts";

const MESSAGES = {
  YAML_SYNTAX: {
    code: 1001,
    category: "error",
    template: "The YAML is malformed: {0}",
  },
  WRONG_VALUE: { code: 1002, category: "error", template: "{0}: {1}" },
  UNKNOWN_PROPERTY: {
    code: 1003,
    category: "error",
    template: "Unknown property '{0}'",
  },
  BAD_PATH: {
    code: 1004,
    category: "error",
    template: "'{0}' is not a settings path",
  },
  KIND_DOES_NOT_MATCH_PATH: {
    code: 1005,
    category: "error",
    template: "A document at '{0}' must be of kind '{1}'",
  },
  SCRIPTS_ADDRESS_MISSING: {
    code: 1006,
    category: "error",
    template: "'scriptsAddress' is required when 'handover' is 'scripts'",
  },
  DEADLINES_CROSSED: {
    code: 1007,
    category: "error",
    template: "'defaultDeadlineMs' is greater than 'longestDeadlineMs'",
  },
  PREFIX_TAKEN: {
    code: 1008,
    category: "error",
    template: "The path prefix '{0}' is already used by '{1}'",
  },
  ORGANISATION_MISSING: {
    code: 1009,
    category: "error",
    template: "There is no organisation at '{0}'",
  },
  EMPTY_DOCUMENT: {
    code: 1010,
    category: "error",
    template: "The document is empty",
  },
  DOCUMENT_TOO_LARGE: {
    code: 1011,
    category: "error",
    template: "The document has {0} bytes, but at most {1} are allowed",
  },
  MISSING_PROPERTY: {
    code: 1012,
    category: "error",
    template: "The property '{0}' is missing",
  },
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;

/** Name of a finding. */
export type DiagnosticName = keyof typeof MESSAGES;

/** Returns the catalogue row of a name. */
export function getDiagnosticMessage(name: DiagnosticName): DiagnosticMessage {
  return MESSAGES[name];
}
