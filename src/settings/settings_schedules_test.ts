import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type CallFate,
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
  /** Shares of the calls, in percent. */
  readonly refused: number;
  readonly lost: number;
}

const FAULT_ROWS: readonly FaultRow[] = [
  { name: "racing operators", refused: 0, lost: 0 },
  { name: "replies lost after the write took effect", refused: 0, lost: 10 },
  { name: "outages", refused: 10, lost: 0 },
  { name: "outages and lost replies", refused: 8, lost: 8 },
];

interface Attempted {
  readonly changeId: string;
  readonly path: string;
  readonly outcome: ChangeOutcome;
}

function createWriter(service: FakeKeyValueService) {
  const bodies = new BodyCache();
  bodies.addSource(new KeyValueBodySource(service));
  return { writer: new SettingsWriter(service, bodies), bodies };
}

/** One operator makes several changes, each asked for again while unsettled. */
async function operate(
  service: FakeKeyValueService,
  operator: number,
  picks: readonly number[],
): Promise<readonly Attempted[]> {
  const { writer } = createWriter(service);
  const attempted: Attempted[] = [];
  for (const [number, pick] of picks.entries()) {
    const changeId = `change-${operator}-${number}`;
    const path = PATHS[pick % PATHS.length] as string;
    const change = {
      path,
      text: `kind: organisation\nweight: ${1 + operator * 10 + number}\n`,
      changeId,
      baseRecord: undefined,
      author: `operator-${operator}`,
      at: "2026-12-02T00:00:00.000Z",
      lowestRevision: 0,
    };
    let outcome = await writer.write(change);
    const isOpen = outcome.kind === "unsettled";
    for (let again = 0; isOpen && again < 20; again++) {
      outcome = await writer.write(change);
      if (outcome.kind === "accepted" || outcome.kind === "conflict") break;
      // An open change stays open, whatever a later try could not reach.
      outcome = { kind: "unsettled", cause: "Asked again in vain" };
    }
    attempted.push({ changeId, path, outcome });
  }
  return attempted;
}

/** Every accepted change, in the order of the revisions. */
function historyOf(service: FakeKeyValueService) {
  const byRevision = new Map<number, string>();
  const text = service.tryPeek(HEAD_KEY)?.value;
  const head = text === undefined ? undefined : tryParseHead(text);
  const open = (head?.recent ?? []).map((change) => change.record);
  while (open.length > 0) {
    const hash = open.pop() as string;
    const body = service.tryPeek(`lagoonwharf/settings/body/${hash}`)?.value;
    const record = tryParseRecord(body ?? "");
    assert.ok(record !== undefined, "A record of the head is missing");
    byRevision.set(record.revision, record.changeId);
    if (record.previous !== null) open.push(record.previous);
  }
  return { head, byRevision };
}

function createFate(row: FaultRow, seed: number): () => CallFate {
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
    it(`keeps what it accepted and nothing else: ${row.name}`, async () => {
      let accepted = 0;
      let conflicts = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.scheduler(),
          fc.nat(1_000_000),
          fc.array(fc.nat(1), { minLength: 9, maxLength: 9 }),
          async (scheduler, seed, picks) => {
            const service = new FakeKeyValueService({
              pass: () => scheduler.schedule(Promise.resolve()),
              fate: createFate(row, seed),
            });
            const operators = Array.from(
              { length: OPERATORS },
              (_, index) =>
                operate(
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
      assert.ok(accepted > RUNS, "Too few changes for the row to mean much");
      assert.ok(conflicts > 0, "Expected operators to meet");
    });
  }

  it("never puts an older head in force, whatever the order of offers", async () => {
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
        lowestRevision: 0,
      });
      heads.push(service.tryPeek(HEAD_KEY)?.value as string);
    }
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.nat(heads.length - 1), { maxLength: 30 }),
        async (order) => {
          const bodies = new BodyCache();
          bodies.addSource(new KeyValueBodySource(service));
          const seen: number[] = [];
          const keeper = new SettingsKeeper(bodies, {
            onSnapshot: (snapshot) => seen.push(snapshot.head.revision),
          });
          for (const index of order) await keeper.offer(heads[index] as string);
          assert.deepEqual(seen, [...seen].sort((a, b) => a - b));
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
  attempted: readonly Attempted[],
): void {
  const { head, byRevision } = historyOf(service);
  const changeIds = [...byRevision.values()];
  assert.equal(
    new Set(changeIds).size,
    changeIds.length,
    "A change counts twice",
  );
  assert.equal(byRevision.size, head?.revision ?? 0, "A change was lost");
  for (const { changeId, outcome } of attempted) {
    const isKept = changeIds.includes(changeId);
    if (outcome.kind === "accepted") {
      assert.ok(isKept, `${changeId} was accepted and is lost`);
      assert.equal(byRevision.get(outcome.revision), changeId);
    } else if (outcome.kind !== "unsettled") {
      assert.ok(!isKept, `${changeId} was refused and is kept`);
    }
  }
}

function countKind(
  attempted: readonly Attempted[],
  kind: ChangeOutcome["kind"],
): number {
  return attempted.filter(({ outcome }) => outcome.kind === kind).length;
}
