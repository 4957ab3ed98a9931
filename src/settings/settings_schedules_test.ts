import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type CallOutcome,
  FakeKeyValueService,
} from "../testing/fake_key_value_service.ts";
import { BodyCache, KeyValueBodySource } from "./body_source.ts";
import { SettingsKeeper } from "./settings_keeper.ts";
import { type ChangeOutcome, SettingsWriter } from "./settings_writer.ts";
import { HEAD_KEY, tryParseHead, tryParseRecord } from "./tree.ts";

const SEED = 20261202;
const RUNS = 80;
const OPERATORS = 3;
const CHANGES = 3;
const PATHS = ["/organisations/a", "/organisations/b"] as const;

interface FaultRow {
  readonly name: string;
  /** Percentage of calls that fail. */
  readonly refused: number;
  readonly lost: number;
}

const FAULT_ROWS: readonly FaultRow[] = [
  { name: "racing operators", refused: 0, lost: 0 },
  { name: "replies lost after the write took effect", refused: 0, lost: 10 },
  { name: "outages", refused: 10, lost: 0 },
  { name: "outages and lost replies", refused: 8, lost: 8 },
];

interface AttemptedChange {
  readonly changeId: string;
  readonly path: string;
  readonly outcome: ChangeOutcome;
}

function createWriter(service: FakeKeyValueService) {
  const bodies = new BodyCache();
  bodies.addSource(new KeyValueBodySource(service));
  return { writer: new SettingsWriter(service, bodies), bodies };
}

/**
 * Makes several changes as one operator, and retries each while its outcome is unknown.
 */
async function runOperator(
  service: FakeKeyValueService,
  operator: number,
  pathChoices: readonly number[],
): Promise<readonly AttemptedChange[]> {
  const { writer } = createWriter(service);
  const attempted: AttemptedChange[] = [];
  for (const [number, pathChoice] of pathChoices.entries()) {
    const changeId = `change-${operator}-${number}`;
    const path = PATHS[pathChoice % PATHS.length] as string;
    const change = {
      path,
      text: `kind: organisation\nweight: ${1 + operator * 10 + number}\n`,
      changeId,
      baseRecord: undefined,
      author: `operator-${operator}`,
      at: "2026-12-02T00:00:00.000Z",
      minRevision: 0,
    };
    let outcome = await writer.write(change);
    const isUnsettled = outcome.kind === "unsettled";
    for (let retry = 0; isUnsettled && retry < 20; retry++) {
      outcome = await writer.write(change);
      if (outcome.kind === "accepted" || outcome.kind === "conflict") break;
      // The outcome stays unknown, even if a later attempt could not reach the service.
      outcome = { kind: "unsettled", cause: "All retries failed" };
    }
    attempted.push({ changeId, path, outcome });
  }
  return attempted;
}

/** Reads all accepted changes by revision. */
function readHistory(service: FakeKeyValueService) {
  const byRevision = new Map<number, string>();
  const text = service.tryPeek(HEAD_KEY)?.value;
  const head = text === undefined ? undefined : tryParseHead(text);
  const pendingRecords = (head?.recent ?? []).map((change) => change.record);
  while (pendingRecords.length > 0) {
    const hash = pendingRecords.pop() as string;
    const body = service.tryPeek(`lagoonwharf/settings/body/${hash}`)?.value;
    const record = tryParseRecord(body ?? "");
    assert.ok(record !== undefined, "A record of the head is missing");
    byRevision.set(record.revision, record.changeId);
    if (record.previous !== null) pendingRecords.push(record.previous);
  }
  return { head, byRevision };
}

function createOutcomeChooser(row: FaultRow, seed: number): () => CallOutcome {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    const percent = Math.floor(state / 65_536) % 100;
    if (percent < row.refused) return "refused";
    return percent < row.refused + row.lost ? "reply_lost" : "answered";
  };
}

describe("settings under races and faults of the key-value service", () => {
  for (const row of FAULT_ROWS) {
    it(`contain exactly the accepted changes: ${row.name}`, async () => {
      let accepted = 0;
      let conflicts = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.scheduler(),
          fc.nat(1_000_000),
          fc.array(fc.nat(1), { minLength: 9, maxLength: 9 }),
          async (scheduler, seed, picks) => {
            const service = new FakeKeyValueService({
              delay: () => scheduler.schedule(Promise.resolve()),
              chooseOutcome: createOutcomeChooser(row, seed),
            });
            const operators = Array.from(
              { length: OPERATORS },
              (_, index) =>
                runOperator(
                  service,
                  index,
                  picks.slice(index * CHANGES, (index + 1) * CHANGES),
                ),
            );
            await scheduler.waitFor(Promise.all(operators));
            const attempted = (await Promise.all(operators)).flat();
            checkHistory(service, attempted);
            accepted += countKind(attempted, "accepted");
            conflicts += countKind(attempted, "conflict");
          },
        ),
        { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
      );
      assert.ok(
        accepted > RUNS,
        "Too few accepted changes for a meaningful test",
      );
      assert.ok(conflicts > 0, "Expected conflicts between operators");
    });
  }

  it("are never replaced by an older head, in any order of offers", async () => {
    const service = new FakeKeyValueService();
    const { writer } = createWriter(service);
    const heads: string[] = [];
    for (let number = 0; number < 6; number++) {
      await writer.write({
        path: "/organisations/a",
        text: `kind: organisation\nweight: ${number + 1}\n`,
        changeId: `change-${number}`,
        baseRecord: undefined,
        author: "operator",
        at: "2026-12-02T00:00:00.000Z",
        minRevision: 0,
      });
      heads.push(service.tryPeek(HEAD_KEY)?.value as string);
    }
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.nat(heads.length - 1), { maxLength: 30 }),
        async (order) => {
          const bodies = new BodyCache();
          bodies.addSource(new KeyValueBodySource(service));
          const appliedRevisions: number[] = [];
          const keeper = new SettingsKeeper(bodies, {
            onSnapshot: (snapshot) =>
              appliedRevisions.push(snapshot.head.revision),
          });
          for (const index of order) await keeper.offer(heads[index] as string);
          assert.deepEqual(
            appliedRevisions,
            [...appliedRevisions].sort((a, b) => a - b),
          );
          assert.equal(
            keeper.revision,
            Math.max(0, ...order.map((n) => n + 1)),
          );
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });
});

function checkHistory(
  service: FakeKeyValueService,
  attempted: readonly AttemptedChange[],
): void {
  const { head, byRevision } = readHistory(service);
  const changeIds = [...byRevision.values()];
  assert.equal(
    new Set(changeIds).size,
    changeIds.length,
    "A change was accepted twice",
  );
  assert.equal(byRevision.size, head?.revision ?? 0, "A change was lost");
  for (const { changeId, outcome } of attempted) {
    const isKept = changeIds.includes(changeId);
    if (outcome.kind === "accepted") {
      assert.ok(isKept, `${changeId} was accepted but lost`);
      assert.equal(byRevision.get(outcome.revision), changeId);
    } else if (outcome.kind !== "unsettled") {
      assert.ok(!isKept, `${changeId} was rejected but stored`);
    }
  }
}

function countKind(
  attempted: readonly AttemptedChange[],
  kind: ChangeOutcome["kind"],
): number {
  return attempted.filter(({ outcome }) => outcome.kind === kind).length;
}
