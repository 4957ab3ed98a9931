/**
 * The list of tests that are known to fail for a fault that could not be mended
 * yet, and whether a run of the tests passes by it.
 *
 * @module
 */

/** One line of the list: test, cause and issue, parted by bars. */
export interface KnownRedTest {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** How the failures of a run stand against the list. */
export interface RedVerdict {
  /** Failures that the list does not know; any fails the run. */
  readonly unknown: readonly string[];
  /** Listed tests that failed, as expected. */
  readonly known: readonly KnownRedTest[];
  /** Listed tests that did not fail: the list is out of date. */
  readonly stale: readonly KnownRedTest[];
}

const FIELDS_IN_LINE = 3;
/** A line of the runner's TAP output that names a failure, and its cause. */
const FAILURE_LINE = /^\s*not ok \d+ - (.*)$/;
const FAILURE_TYPE_LINE = /^\s*failureType: '(\w+)'$/;
/** Why a suite fails when one of its tests does. */
const FAILED_BY_TESTS = "subtestsFailed";

/**
 * Reads the list.
 *
 * @example
 * ```ts
 * const listed = parseKnownRed("resumes a stream | gap at a reset | 9\n");
 * ```
 *
 * @throws when a line does not name test, cause and issue
 */
export function parseKnownRed(text: string): readonly KnownRedTest[] {
  return text.split("\n").filter((line) => line.trim() !== "").map((line) => {
    const fields = line.split("|").map((field) => field.trim());
    const [test, cause, issue] = fields;
    const isWhole = fields.length === FIELDS_IN_LINE && test && cause && issue;
    if (!isWhole) throw new Error(`Expected test | cause | issue: ${line}`);
    return { test, cause, issue };
  });
}

/**
 * Compares the failures of a run with the list.
 *
 * @example
 * ```ts
 * const verdict = judgeFailures(["resumes a stream"], listed);
 * ```
 */
export function judgeFailures(
  failed: readonly string[],
  listed: readonly KnownRedTest[],
): RedVerdict {
  const isListed = (name: string) => listed.some(({ test }) => test === name);
  return {
    unknown: failed.filter((name) => !isListed(name)),
    known: listed.filter(({ test }) => failed.includes(test)),
    stale: listed.filter(({ test }) => !failed.includes(test)),
  };
}

/**
 * The tests that failed by themselves, from the runner's TAP output; suites that
 * fail for a test in them are left out.
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
    if (failureType !== FAILED_BY_TESTS) failed.push(name);
    name = undefined;
  }
  return failed;
}
