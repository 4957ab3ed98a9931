/**
 * Benchmark of memory, message sizes and processor time for docs/CAPACITY.md. Fits a line
 * to the costs of three sizes each. The results depend on the computer that runs it;
 * they are printed and not checked against bounds.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { RandomSource } from "../src/core/random_source.ts";
import { EntryReducer } from "../src/entry/entry_reducer.ts";
import { RoutingTable } from "../src/entry/routing_table.ts";
import { GroupCoordinator } from "../src/group/coordinator.ts";
import { decodeFrame, encodeFrame } from "../src/messages/codec.ts";
import type { Message } from "../src/messages/types.ts";
import { packGreedily } from "../src/policy/placement/greedy_packer.ts";
import {
  REBALANCE_PRESETS,
  Rebalancer,
} from "../src/policy/placement/rebalancer.ts";
import { BodyCache } from "../src/settings/body_source.ts";
import { tryLoadSnapshot } from "../src/settings/load_snapshot.ts";
import { SettingsTree } from "../src/settings/settings_tree.ts";
import { hashText, RECENT_CHANGES } from "../src/settings/tree.ts";
import type { SettingsHead } from "../src/settings/types.ts";
import type { SettingsSnapshot } from "../src/settings/snapshot.ts";
import { KeyLedger } from "../src/target/key_ledger.ts";
import { createSubmit } from "../src/testing/fixtures.ts";
import {
  fitLine,
  getHeapBytes,
  measureBytes,
  measureMicroseconds,
} from "./measure.ts";
import { createWorkload } from "./step_workloads.ts";

/** Line fitted to the costs of several sizes. */
export interface SizeResult {
  readonly what: string;
  readonly unit: string;
  readonly sizes: string;
  readonly costs: string;
  /** Cost of one more unit. */
  readonly slope: number;
  readonly base: number;
}

const SEED = 20261202;
const TOKEN_BYTES = 40;

/** Runs every measurement. */
export async function runSizeBench(): Promise<readonly SizeResult[]> {
  return [
    ...await measureSettings(),
    ...measureTargetsInView(),
    ...measureMessages(),
    ...measureLedger(),
    ...measurePlanner(),
    ...measureMapSize(),
  ];
}

interface Point {
  readonly size: number;
  readonly cost: number;
}

function createResult(
  what: string,
  unit: string,
  points: readonly Point[],
): SizeResult {
  return {
    what,
    unit,
    sizes: points.map((point) => point.size).join(", "),
    costs: points.map((point) => point.cost.toPrecision(3)).join(", "),
    ...fitLine(points),
  };
}

interface TreeFixture {
  readonly tree: SettingsTree;
  readonly bodies: readonly string[];
}

/** Creates two documents for each organisation: the organisation and one service. */
function createTree(organisations: number): TreeFixture {
  let tree = SettingsTree.EMPTY;
  const bodies: string[] = [];
  for (let number = 0; number < organisations; number++) {
    const organisation = `/organisations/organisation-${number}`;
    const documents = [
      [organisation, "kind: organisation\nrequestsPerSecond: 50\nburst: 100\n"],
      [
        `${organisation}/services/plans`,
        `kind: service\npathPrefix: /organisation-${number}/plans\npool: plan\n`,
      ],
    ] as const;
    for (const [path, text] of documents) {
      const body = createRecord(path, text, number + 1);
      bodies.push(body);
      tree = tree.with(path, hashText(body));
    }
  }
  return { tree, bodies };
}

function createRecord(path: string, text: string, revision: number): string {
  return JSON.stringify({
    path,
    text,
    changeId: `change-${revision}`,
    revision,
    author: "/teams/team",
    at: "2026-12-02T00:00:00.000Z",
    previous: null,
  });
}

function createHead(
  tree: SettingsTree,
  revision: number,
  recent: SettingsHead["recent"],
): string {
  const head: SettingsHead = {
    format: 1,
    revision,
    root: tree.createRoot().hash,
    recent,
  };
  return JSON.stringify(head);
}

async function measureSettings(): Promise<readonly SizeResult[]> {
  const memoryPoints: Point[] = [];
  const loadPoints: Point[] = [];
  const changePoints: Point[] = [];
  for (const organisations of [1500, 3000, 6000]) {
    const before = getHeapBytes();
    const { tree, bodies } = createTree(organisations);
    const cache = new BodyCache();
    const startedAt = performance.now();
    const snapshot = await loadAllSettings(tree, bodies, cache);
    const milliseconds = performance.now() - startedAt;
    const routes = new RoutingTable(snapshot.documents);
    memoryPoints.push({ size: organisations, cost: getHeapBytes() - before });
    if (routes.size !== organisations) throw new Error("Routes are missing");
    loadPoints.push({ size: organisations, cost: milliseconds });
    changePoints.push({
      size: organisations,
      cost: await measureChanges(snapshot, { cache, routes }),
    });
  }
  return [
    createResult(
      "settings held by an entry",
      "bytes an organisation",
      memoryPoints,
    ),
    createResult("settings read whole", "ms an organisation", loadPoints),
    createResult("one change put in force", "ms an organisation", changePoints),
  ];
}

async function loadAllSettings(
  tree: SettingsTree,
  bodies: readonly string[],
  cache: BodyCache,
): Promise<SettingsSnapshot> {
  for (const body of bodies) cache.tryAdd(hashText(body), body);
  const root = tree.createRoot();
  cache.tryAdd(root.hash, root.body);
  for (const [path] of tree.entries()) {
    const page = tree.createPage(path);
    if (cache.tryGetCached(page.hash) === undefined) {
      cache.tryAdd(page.hash, page.body);
    }
  }
  const headText = createHead(tree, 1, []);
  const snapshot = await tryLoadSnapshot({ headText, bodies: cache });
  if (snapshot === undefined) throw new Error("The settings cannot be loaded");
  return snapshot;
}

/** Returns the median of the milliseconds that consecutive changes take to apply. */
async function measureChanges(
  initialSnapshot: SettingsSnapshot,
  appliedState: { readonly cache: BodyCache; readonly routes: RoutingTable },
): Promise<number> {
  const { cache, routes } = appliedState;
  const path = "/organisations/organisation-7";
  const durations: number[] = [];
  let current = initialSnapshot;
  for (let number = 0; number < 41; number++) {
    const revision = current.head.revision + 1;
    const body = createRecord(path, "kind: organisation\n", revision);
    const record = hashText(body);
    cache.tryAdd(record, body);
    const tree = current.tree.with(path, record);
    const headText = createHead(tree, revision, [{ revision, path, record }]);
    const startedAt = performance.now();
    const next = await tryLoadSnapshot({ headText, bodies: cache, current });
    if (next?.changed === undefined) {
      throw new Error("The change was not applied");
    }
    routes.refresh(next.changed, next.documents);
    durations.push(performance.now() - startedAt);
    current = next;
  }
  return durations.sort((left, right) => left - right)[20] as number;
}

function createEntry(targets: number): EntryReducer {
  const entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(SEED),
  });
  const documents = new Map(
    [["/organisations/a", {
      kind: "organisation" as const,
      requestsPerSecond: 1e6,
      burst: 1e6,
      concurrency: 1e6,
      weight: 1,
      accessKeySha256: [],
    }], ["/organisations/a/services/s", {
      kind: "service" as const,
      pathPrefix: "/confirm",
      pool: "confirm",
      handover: "lagoonwharf" as const,
      priority: 5,
      defaultDeadlineMs: 60_000,
      longestDeadlineMs: 60_000,
      largestBodyBytes: 10_000,
      retryShare: 0.1,
      idempotentMethods: ["GET"],
      callers: "anyone" as const,
      mostAttempts: 10,
      resumable: false,
      keyRetentionMs: 1000,
    }]] as const,
  );
  entry.reduce({
    kind: "settings_in_force",
    now: 0,
    routes: new RoutingTable(documents),
  });
  for (let index = 0; index < targets; index++) {
    entry.reduce({
      kind: "target_connected",
      now: 0,
      target: {
        name: `target-${index}`,
        incarnation: "1",
        failureDomain: "a",
        pool: "confirm",
        concurrency: 16,
      },
    });
  }
  return entry;
}

function measureTargetsInView(): readonly SizeResult[] {
  const memoryPoints: Point[] = [];
  const requestPoints: Point[] = [];
  const tickPoints: Point[] = [];
  for (const targets of [150, 300, 600]) {
    const { bytes, value: entry } = measureBytes(() => createEntry(targets));
    memoryPoints.push({ size: targets, cost: bytes });
    let id = 0;
    requestPoints.push({
      size: targets,
      cost: measureMicroseconds(3000, () => runRequest(entry, ++id)),
    });
    tickPoints.push({
      size: targets,
      cost: measureMicroseconds(200, (index) => {
        entry.reduce({ kind: "tick", now: index * 500 });
      }),
    });
  }
  return [
    createResult("a target in an entry's view", "bytes a target", memoryPoints),
    createResult(
      "a request in the entry's reducer",
      "us a target",
      requestPoints,
    ),
    createResult("a tick that compares targets", "us a target", tickPoints),
  ];
}

function runRequest(entry: EntryReducer, id: number): void {
  const effects = entry.reduce({
    kind: "request_arrived",
    now: 0,
    request: {
      id,
      method: "POST",
      path: "/confirm",
      headers: [],
      body: Buffer.alloc(0),
    },
  });
  const send = effects.find((effect) => effect.kind === "send");
  if (send?.kind !== "send") throw new Error("The request was not sent");
  const targetName = send.targetName;
  const attemptId = { requestId: id, attempt: 1 };
  const messages: readonly Message[] = [
    {
      kind: "answer_head",
      ...attemptId,
      sequence: 0,
      status: 200,
      headers: [],
    },
    {
      kind: "answer_end",
      ...attemptId,
      sequence: 1,
      byteCount: 0,
      queued: 0,
      running: 1,
    },
  ];
  for (const message of messages) {
    entry.reduce({ kind: "message_received", now: 0, targetName, message });
  }
}

function measureMessages(): readonly SizeResult[] {
  const tokenBytes = Buffer.alloc(TOKEN_BYTES, "x");
  const encodePoints: Point[] = [];
  const decodePoints: Point[] = [];
  const sizePoints: Point[] = [];
  for (const count of [1, 8, 64]) {
    const messages = Array.from({ length: count }, (_, index): Message => ({
      kind: "answer_data",
      requestId: index,
      attempt: 1,
      sequence: index,
      bytes: tokenBytes,
    }));
    const frame = encodeFrame(messages);
    sizePoints.push({ size: count, cost: frame.length });
    encodePoints.push({
      size: count,
      cost: measureMicroseconds(20_000 / count, () => encodeFrame(messages)),
    });
    decodePoints.push({
      size: count,
      cost: measureMicroseconds(20_000 / count, () => decodeFrame(frame)),
    });
  }
  return [
    createResult("a frame of tokens", "bytes a token", sizePoints),
    createResult("packing a frame of tokens", "us a token", encodePoints),
    createResult("reading a frame of tokens", "us a token", decodePoints),
  ];
}

function measureLedger(): readonly SizeResult[] {
  const memoryPoints: Point[] = [];
  for (const keys of [10_000, 20_000, 40_000]) {
    const { bytes, value } = measureBytes(() => createLedger(keys));
    if (value.length !== keys) throw new Error("Keys are missing");
    memoryPoints.push({ size: keys, cost: bytes });
  }
  return [
    createResult("a remembered key without answer", "bytes", memoryPoints),
  ];
}

function createLedger(keys: number): KeyLedger {
  const ledger = new KeyLedger({ ledgerLength: keys, keptBytes: 0 });
  for (let index = 0; index < keys; index++) {
    const fingerprint = Buffer.from(String(index).padStart(16)).toString(
      "base64",
    );
    ledger.tryAdd({
      fingerprint,
      requestHash: Buffer.from(String(index).padStart(32)).toString("base64"),
      expiresAt: index,
      state: { kind: "running" },
    }, 0);
    ledger.setAnswered(fingerprint, undefined);
  }
  return ledger;
}

function measurePlanner(): readonly SizeResult[] {
  const planningPoints: Point[] = [];
  const planner = new Rebalancer(REBALANCE_PRESETS.skew);
  for (const ranks of [8, 16, 32]) {
    const shape = { ranks, experts: ranks * 4, slotsPerRank: 5, layers: 1 };
    const intervals = createWorkload("season", shape, {
      intervals: 40,
      seed: SEED,
    });
    const speeds = new Array<number>(ranks).fill(1);
    const load = (index: number) => ({
      tokens: intervals[index]?.tokens[0] ?? [],
      speeds,
    });
    const slots = new Array<number>(ranks).fill(shape.slotsPerRank);
    const placement = packGreedily(load(0), slots);
    planningPoints.push({
      size: ranks,
      cost: measureMicroseconds(30, (index) => {
        planner.plan(placement, load(index + 9));
      }),
    });
  }
  return [createResult("planning a layer", "us a rank", planningPoints)];
}

/** Measures the size of an expert map as JSON. */
function measureMapSize(): readonly SizeResult[] {
  const bytes: Point[] = [];
  for (const ranks of [8, 16, 32]) {
    const map = {
      layers: Array.from({ length: 60 }, () => ({
        experts: Array.from({ length: ranks }, () => [1, 2, 3, 4, 5]),
      })),
    };
    const coordinator = new GroupCoordinator({
      ranks,
      decider: "process",
      firstMap: map,
      firstEpoch: 1,
    });
    const messages = coordinator.reduce({ kind: "tick", now: 1000 });
    if (messages.length !== ranks) {
      throw new Error("Expected one message for each rank");
    }
    bytes.push({ size: ranks, cost: JSON.stringify(map).length });
  }
  return [createResult("a map of 60 layers", "bytes a rank", bytes)];
}

/** Returns the sizes in bytes of messages that are sent repeatedly. */
export function measureControlMessages(): Readonly<Record<string, number>> {
  const recent = Array.from({ length: RECENT_CHANGES }, (_, index) => ({
    revision: index + 1,
    path: "/organisations/organisation-12345/services/plans",
    record: hashText(String(index)),
  }));
  const head = createHead(SettingsTree.EMPTY, 1, recent);
  const sizes: Readonly<Record<string, Message>> = {
    report: { kind: "report", queued: 12, running: 16, meanRunMs: 123.4 },
    claims: {
      kind: "claims",
      version: 7,
      slotCount: 64,
      slots: Array.from({ length: 22 }, (_, slot) => slot),
    },
    "settings offer": { kind: "settings_offer", revision: 1 },
    "settings head": { kind: "settings_head", head },
    submit: createSubmit(),
  };
  return Object.fromEntries(
    Object.entries(sizes).map(([name, message]) =>
      [name, encodeFrame([message]).length] as const
    ),
  );
}
