/**
 * Generates docs/EVENTS.md, the reference of numbered events, refusals and connection
 * faults.
 *
 * @module
 */
import { LINK_FAULT_CODES } from "../messages/codec.ts";
import { getRefusal, REFUSAL_NAMES } from "../refusals/catalogue.ts";
import { EVENT_NAMES, getEvent } from "./catalogue.ts";

const HEAD = `# Events, refusals and connection faults

Generated from the catalogues in the sources by \`npm run docs\`; a test fails when
the two differ. Numbers are never reused.

## Logged events

Each is one JSON object per line on standard output, with its number in \`event\`.

| Number | Name | Level | Text | What to do |
| --- | --- | --- | --- | --- |
`;

const REFUSALS = `
## Refusals

Callers receive them as problem details (RFC 9457) with \`code\` and \`reason\`; the
counter \`lagoonwharf_refusals_total\` counts them by reason. \`Retry-After\` is in
seconds.

| Number | Reason | HTTP status | Retry-After | Text |
| --- | --- | --- | --- | --- |
`;

const FAULTS = `
## Connection faults

Close codes of connections between lagoonwharf processes; the counter
\`lagoonwharf_link_faults_total\` counts them by reason.

| Number | Reason |
| --- | --- |
`;

/** Generates the text of the page. */
export function createEventsPage(): string {
  const events = EVENT_NAMES.map((name) => {
    const { code, level, text, action } = getEvent(name);
    return `| ${code} | ${name} | ${level} | ${text} | ${action} |`;
  });
  const refusals = REFUSAL_NAMES.map((name) => {
    const { code, status, title, retryAfterSeconds } = getRefusal(name);
    const retryAfter = retryAfterSeconds ?? "";
    return `| ${code} | ${name} | ${status} | ${retryAfter} | ${title} |`;
  });
  const faults = Object.entries(LINK_FAULT_CODES).map(([name, code]) =>
    `| ${code} | ${name} |`
  );
  return [
    HEAD + events.join("\n"),
    REFUSALS + refusals.join("\n"),
    FAULTS + faults.join("\n"),
  ].join("\n") + "\n";
}
