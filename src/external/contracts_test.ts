import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { KeyValueStandIn } from "../../standins/key_value_stand_in.ts";
import { VirtualMachineListStandIn } from "../../standins/virtual_machine_list_stand_in.ts";
import { PlainServiceStandIn } from "../../standins/plain_service_stand_in.ts";
import { RankGroupStandIn } from "../../standins/rank_group_stand_in.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import type { BackEndFailure } from "./back_end.ts";
import { HttpBackEnd } from "./http_back_end.ts";
import { HttpKeyValueService } from "./http_key_value_service.ts";
import { HttpRankEngine } from "./http_rank_engine.ts";
import { HttpVirtualMachineList } from "./http_virtual_machine_list.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/**
 * Variables with the addresses of the implementations under test. Without its variable,
 * a contract is tested against its stand-in.
 */
const VARIABLES = {
  keyValue: "LAGOONWHARF_CONTRACT_KEY_VALUE",
  machineList: "LAGOONWHARF_CONTRACT_MACHINE_LIST",
  backEnd: "LAGOONWHARF_CONTRACT_BACK_END",
  rankEngine: "LAGOONWHARF_CONTRACT_RANK_ENGINE",
} as const;

interface StandIn {
  listen(address: string): Promise<void>;
  close(): void;
}

/** Returns the configured address, or starts the stand-in and returns its address. */
async function startOrGetAddress(
  variable: keyof typeof VARIABLES,
  standIn: StandIn,
): Promise<string> {
  const configuredAddress = process.env[VARIABLES[variable]];
  if (configuredAddress !== undefined) return configuredAddress;
  const address = await findFreeAddress();
  await standIn.listen(address);
  return address;
}

describe("contract of the key-value service", () => {
  const standIn = new KeyValueStandIn();
  let service: HttpKeyValueService;

  before(async () => {
    service = new HttpKeyValueService(
      await startOrGetAddress("keyValue", standIn),
    );
  });
  after(() => standIn.close());

  it("returns undefined for a key that was never written", async () => {
    assert.equal(await service.tryRead(randomUUID()), undefined);
  });

  it("writes only at the expected revision", async () => {
    const key = `contract/${randomUUID()}`;
    const first = await service.compareAndSwap(key, {
      value: "one",
      expectedRevision: 0,
    });
    assert.ok(first.kind === "swapped");
    const again = await service.compareAndSwap(key, {
      value: "two",
      expectedRevision: 0,
    });
    assert.deepEqual(again, { kind: "conflict", revision: first.revision });
    const second = await service.compareAndSwap(key, {
      value: "two",
      expectedRevision: first.revision,
    });
    assert.ok(second.kind === "swapped");
    assert.ok(second.revision > first.revision);
    const entry = await service.tryRead(key);
    assert.deepEqual(entry, { value: "two", revision: second.revision });
  });

  it("accepts one of several concurrent writes", async () => {
    const key = `contract/${randomUUID()}`;
    const outcomes = await Promise.all(
      Array.from({ length: 10 }, (_, index) =>
        service.compareAndSwap(key, {
          value: String(index),
          expectedRevision: 0,
        })),
    );
    const winners = outcomes.filter((outcome) => outcome.kind === "swapped");
    assert.equal(winners.length, 1);
  });

  it("stores any string, up to 256 KiB", async () => {
    for (const value of ["", '\u0000\n"', "äß€😀", "x".repeat(262_144)]) {
      const key = `contract/${randomUUID()} /?#%`;
      await service.compareAndSwap(key, { value, expectedRevision: 0 });
      assert.equal((await service.tryRead(key))?.value, value);
    }
  });

  it("answers a watch when the key changes, immediately if it already has", async () => {
    const key = `contract/${randomUUID()}`;
    const { signal } = new AbortController();
    const watch = service.watch(key, { knownRevision: 0, signal });
    await service.compareAndSwap(key, { value: "one", expectedRevision: 0 });
    assert.equal((await watch)?.value, "one");
    const late = await service.watch(key, { knownRevision: 0, signal });
    assert.equal(late?.value, "one");
  });
});

describe("contract of the list of VMs", () => {
  const standIn = new VirtualMachineListStandIn();

  after(() => standIn.close());

  it("lists VMs with unique names", async () => {
    standIn.setVirtualMachines([{
      name: "plan-1",
      address: createSocketAddress("127.0.0.1:7001"),
      role: "target",
      failureDomain: "a",
      pool: "plan",
      state: "live",
    }]);
    const list = new HttpVirtualMachineList(
      await startOrGetAddress("machineList", standIn),
    );
    const virtualMachines = await list.read();
    const names = new Set(virtualMachines.map((listed) => listed.name));
    assert.equal(names.size, virtualMachines.length);
    assert.ok(virtualMachines.length > 0);
  });
});

describe("contract of a back end", () => {
  const standIn = new PlainServiceStandIn("contract");
  let address: SocketAddress;

  before(async () => {
    address = createSocketAddress(
      await startOrGetAddress("backEnd", standIn),
    );
  });
  after(() => standIn.close());

  it("answers a request completely", async () => {
    const answer = await callBackEnd(address);
    assert.equal(answer.failure, undefined);
    assert.equal(answer.status, 200);
    assert.ok(answer.text.length > 0);
  });

  it("fails as not begun if no process listens at its address", async () => {
    const answer = await callBackEnd(await findFreeAddress());
    assert.equal(answer.failure, "not_begun");
  });
});

interface BackEndAnswer {
  readonly status: number;
  readonly text: string;
  readonly failure: BackEndFailure | undefined;
}

async function callBackEnd(address: SocketAddress): Promise<BackEndAnswer> {
  const backEnd = new HttpBackEnd({ address, maxConnections: 1 });
  let status = 0;
  let text = "";
  const failure = await new Promise<BackEndFailure | undefined>((resolve) => {
    backEnd.start({
      method: "POST",
      path: "/contract",
      headers: [],
      body: Buffer.from("body"),
      limitMs: 10_000,
    }, {
      onHead: (headStatus) => status = headStatus,
      onData: (bytes) => text += Buffer.from(bytes).toString(),
      onEnd: () => resolve(undefined),
      onFailed: resolve,
    });
  });
  await backEnd.close();
  return { status, text, failure };
}

describe("contract of a rank's engine", () => {
  const standIn = new RankGroupStandIn({
    ranks: 1,
    stepMs: 1000,
    tokens: [1, 1],
  });
  let engine: HttpRankEngine;

  before(async () => {
    engine = new HttpRankEngine(
      await startOrGetAddress("rankEngine", {
        listen: (address) => standIn.listen(0, address),
        close: () => standIn.close(),
      }),
    );
  });
  after(() => standIn.close());

  it("executes the orders of a switch idempotently", async () => {
    const map = { layers: [{ experts: [[0, 1]] }] };
    const before = await engine.readState();
    const incarnation = before.incarnation + 1;
    const version = before.activeVersion + 1;
    const assemble = { kind: "assemble", incarnation, version, map } as const;
    const hold = { kind: "hold", version, step: 0 } as const;
    const activate = { kind: "activate", version, step: 0 } as const;
    for (let time = 0; time < 2; time++) {
      const state = await engine.execute(assemble, 1);
      assert.equal(state.incarnation, incarnation);
      assert.equal(state.stagedVersion, version);
      assert.equal(state.holdBefore, 0);
    }
    const held = await engine.execute(hold, 1);
    assert.equal(held.holdBefore, 0);
    for (let time = 0; time < 2; time++) {
      const state = await engine.execute(activate, 1);
      assert.deepEqual(state.activation, { version, step: 0 });
      assert.equal(state.holdBefore, undefined);
    }
  });

  it("counts tokens for each expert", async () => {
    const load = await engine.readLoad();
    assert.ok(load.slowdown > 0);
    assert.ok(load.tokens.every((layer) => layer.every((count) => count >= 0)));
  });
});
