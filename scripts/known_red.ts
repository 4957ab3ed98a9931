/**
 * Reads the list of tests that are known to fail because of a fault that is not fixed
 * yet, and compares the failures of a test run with it.
 *
 * @module
 */

/** One line of the list: test, cause and issue, separated by vertical bars. */
export interface KnownRedTest {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** Failures of a test run, compared with the list. */
export interface ClassifiedFailures {
  /** Failures that are not on the list. The run fails if there are any. */
  readonly unknown: readonly string[];
  /** Listed tests that failed, as expected. */
  readonly known: readonly KnownRedTest[];
  /** Listed tests that did not fail, so that the list is out of date. */
  readonly stale: readonly KnownRedTest[];
}

const FIELDS_PER_LINE = 3;
/** Line of the runner's TAP output with the name of a failed test. */
const FAILURE_LINE = /^\s*not ok \d+ - (.*)$/;
/** Line of the runner's TAP output with the type of a failure. */
const FAILURE_TYPE_LINE = /^\s*failureType: '(\w+)'$/;
/** Type of the failure of a suite that fails because one of its tests failed. */
const SUITE_FAILURE_TYPE = "subtestsFailed";

/**
 * Reads the list.
 *
 * @example
 * ```ts
 * const listed = parseKnownRed("resumes a stream | gap at a reset | 9\n");
 * ```
 *
 * @throws when a line lacks a test, a cause or an issue
 */
export function parseKnownRed(text: string): readonly KnownRedTest[] {
  return text.split("\n").filter((line) => line.trim() !== "").map((line) => {
    const fields = line.split("|").map((field) => field.trim());
    const [test, cause, issue] = fields;
    const isComplete = fields.length === FIELDS_PER_LINE && test && cause &&
      issue;
    if (!isComplete) throw new Error(`Expected test | cause | issue: ${line}`);
    return { test, cause, issue };
  });
}

/**
 * Compares the failures of a run with the list.
 *
 * @example
 * ```ts
 * const { unknown } = classifyFailures(["resumes a stream"], listed);
 * ```
 */
export function classifyFailures(
  failed: readonly string[],
  listed: readonly KnownRedTest[],
): ClassifiedFailures {
  const isListed = (name: string) => listed.some(({ test }) => test === name);
  return {
    unknown: failed.filter((name) => !isListed(name)),
    known: listed.filter(({ test }) => failed.includes(test)),
    stale: listed.filter(({ test }) => !failed.includes(test)),
  };
}

/**
 * Returns the names of failed tests in the runner's TAP output, without the suites that
 * failed only because one of their tests failed.
 *
 * @example
 * ```ts
 * const failed = readFailedTests(readFileSync("tests.tap", "utf8"));
 * ```
 */
export function readFailedTests(tap: string): readonly string[] {
  const failed: string[] = [];
  let name: string | undefined;
  for (const line of tap.split("\n")) {
    name = FAILURE_LINE.exec(line)?.[1] ?? name;
    const failureType = FAILURE_TYPE_LINE.exec(line)?.[1];
    if (name === undefined || failureType === undefined) continue;
    if (failureType !== SUITE_FAILURE_TYPE) failed.push(name);
    name = undefined;
  }
  return failed;
}
