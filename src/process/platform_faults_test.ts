import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { PlainServiceStandIn } from "../../standins/plain_service_stand_in.ts";
import { HEAD_KEY, tryParseHead } from "../settings/tree.ts";
import {
  ProcessCluster,
  type RunningProcess,
  waitUntil,
} from "../testing/process_cluster.ts";

const SERVICE =
  "# path: /organisations/a/services/confirm\nkind: service\npathPrefix: /confirm\npool: confirm\n";

describe("processes under faults of the platform", () => {
  let cluster: ProcessCluster;
  let entry: RunningProcess;
  let target: RunningProcess;
  let plain: PlainServiceStandIn;

  async function statusOfCall(from: RunningProcess): Promise<number> {
    const response = await request(`http://${from.address}/confirm`, {
      method: "POST",
      body: "body",
    });
    await response.body.dump();
    return response.statusCode;
  }

  function runSettings(commandArguments: readonly string[]) {
    return cluster.run([
      "settings",
      ...commandArguments,
      "--entry",
      entry.administrationAddress,
    ]);
  }

  before(async () => {
    cluster = await ProcessCluster.create();
    entry = await cluster.startEntry("entry-1");
    plain = new PlainServiceStandIn("confirm");
    target = await cluster.startTarget(
      "confirm-1",
      await cluster.listen(plain),
    );
    await cluster.waitForTargets(entry, ["confirm-1"]);
    await cluster.apply(entry, "/organisations/a", "kind: organisation\n");
  });

  after(async () => await cluster.close());

  it("report a change as accepted if only the swap's reply was lost", async () => {
    const file = cluster.writeFile("service.yaml", SERVICE);
    cluster.keyValue.faults.lostReplies = 1;
    const result = await runSettings(["apply", file]);
    assert.equal(result.code, 0, result.errors);
    assert.match(result.output, /accepted .* at revision 2/);
    const waited = await runSettings(["wait", "2"]);
    assert.equal(waited.code, 0, waited.output);
    assert.equal(await statusOfCall(entry), 200);
  });

  it("show every finding with its position and accept nothing", async () => {
    const file = cluster.writeFile(
      "bad.yaml",
      "# path: /organisations/a/services/bad\nkind: service\npathPrefix: bad\nretryShare: 2\ncolour: red\n",
    );
    const result = await runSettings(["apply", file]);
    assert.equal(result.code, 2);
    assert.match(result.errors, /bad.yaml:3:1 - error LW1002: pathPrefix/);
    assert.match(result.errors, /bad.yaml:4:1 - error LW1002: retryShare/);
    assert.match(result.errors, /bad.yaml:5:1 - error LW1003: .*'colour'/);
    assert.match(result.errors, /LW1012: The property 'pool' is missing/);
  });

  it("show both sides of a conflict", async () => {
    const shown = await runSettings(["show", "/organisations/a"]);
    const mine = cluster.writeFile("mine.yaml", `${shown.output}weight: 2\n`);
    await cluster.apply(
      entry,
      "/organisations/a",
      "kind: organisation\nweight: 3\n",
    );
    const result = await runSettings(["apply", mine]);
    assert.equal(result.code, 4, result.errors);
    assert.match(
      result.errors,
      /theirs\n[^]*weight: 3[^]*yours\n[^]*weight: 2/,
    );
  });

  it("serve during an outage, and new processes can start", async () => {
    cluster.keyValue.faults.isDown = true;
    cluster.machineList.isDown = true;
    assert.equal(await statusOfCall(entry), 200);
    const second = await cluster.startEntry("entry-2", {
      targets: [target.address],
    });
    await waitUntil("the new entry serves", async () => {
      try {
        return await statusOfCall(second) === 200;
      } catch {
        return false;
      }
    });
    const file = cluster.writeFile("outage.yaml", SERVICE);
    const refused = await runSettings(["apply", file]);
    assert.equal(refused.code, 1, refused.errors);
    cluster.machineList.isDown = false;
    cluster.keyValue.faults.isDown = false;
    const accepted = await runSettings(["apply", file]);
    assert.equal(accepted.code, 0, accepted.errors);
  });

  it("write accepted settings back into a restored service", async () => {
    const old = cluster.keyValue.backUp();
    const revision = await cluster.apply(
      entry,
      "/organisations/a",
      "kind: organisation\nweight: 7\n",
    );
    await cluster.waitForRevision(entry, revision);
    cluster.keyValue.restore(old);
    // Any entry may write them back.
    await waitUntil("the settings are written back", () => {
      const head = cluster.keyValue.tryPeek(HEAD_KEY)?.value ?? "";
      return tryParseHead(head)?.revision === revision;
    });
    const shown = await runSettings(["show", "/organisations/a"]);
    assert.match(shown.output, /weight: 7/);
    const next = await cluster.apply(
      entry,
      "/organisations/a",
      "kind: organisation\nweight: 8\n",
    );
    assert.equal(next, revision + 1);
  });

  it("receive newer settings after they were frozen", async () => {
    const second = await cluster.startEntry("entry-3");
    await cluster.waitForTargets(second, ["confirm-1"]);
    await waitUntil(
      "it has settings",
      async () => (await cluster.readStatus(second)).revision > 0,
    );
    second.child.kill("SIGSTOP");
    const revision = await cluster.apply(
      entry,
      "/organisations/a",
      "kind: organisation\nweight: 9\n",
    );
    second.child.kill("SIGCONT");
    await waitUntil(
      "it catches up",
      async () => (await cluster.readStatus(second)).revision === revision,
    );
  });

  it("put each accepted change in force everywhere", async (context) => {
    const times: number[] = [];
    for (let weight = 1; weight <= 5; weight++) {
      const revision = await cluster.apply(
        entry,
        "/organisations/a",
        `kind: organisation\nweight: ${weight}\n`,
      );
      const acceptedAt = performance.now();
      await cluster.waitForRevision(entry, revision);
      times.push(Math.round(performance.now() - acceptedAt));
    }
    context.diagnostic(
      `ms until in force at entries and target: ${times.join(" ")}`,
    );
  });

  it("accept writes only with a token and below its path", async () => {
    const address = entry.administrationAddress;
    const rows = [
      { token: "nobody", status: 403 },
      { token: "team-token", status: 403, path: "/organisations/a" },
      { token: "team-token", status: 403, path: "/teams/other" },
      { token: "team-token", status: 200, path: "/organisations/b" },
    ];
    await cluster.apply(
      entry,
      "/teams/b",
      "kind: team\nsubtree: /organisations/b\n" +
        `tokenSha256: ${sha256("team-token")}\n`,
    );
    for (const { token, status, path = "/organisations/b" } of rows) {
      const response = await request(
        `http://${address}/administration/v1/settings${path}`,
        {
          method: "PUT",
          headers: { authorization: `Bearer ${token}` },
          body: JSON.stringify({
            text: "kind: organisation\n",
            changeId: `change-of-${token}-${path}`,
          }),
        },
      );
      await response.body.dump();
      assert.equal(response.statusCode, status, `${token} ${path}`);
    }
  });

  it("move a service to the scripts and back with one change each", async () => {
    const scripts = new PlainServiceStandIn("scripts");
    const scriptsAddress = await cluster.listen(scripts);
    const path = "/organisations/a/services/confirm";
    const document = "kind: service\npathPrefix: /confirm\npool: confirm\n";
    const handedOver = `handover: scripts\nscriptsAddress: ${scriptsAddress}\n`;
    for (
      const [text, service] of [
        [document + handedOver, "scripts"],
        [document, "confirm"],
      ] as const
    ) {
      const revision = await cluster.apply(entry, path, text);
      await cluster.waitForRevision(entry, revision);
      const response = await request(`http://${entry.address}/confirm`, {
        method: "POST",
        body: "body",
      });
      const answer = await response.body.json() as { readonly service: string };
      assert.equal(answer.service, service);
    }
  });

  it("do not start with invalid process settings, and report all findings", async () => {
    const file = cluster.writeFile("entry.yaml", "name: UPPER\ncolour: red\n");
    const result = await cluster.run(["entry", file]);
    assert.equal(result.code, 2);
    assert.match(result.errors, /name: /);
    assert.match(result.errors, /callerAddress: /);
    assert.match(result.errors, /colour/);
  });

  it("log that a port is in use", async () => {
    const failing = await cluster.startEntry("entry-4", {
      callerAddress: entry.address,
    });
    await waitUntil(
      "the start fails",
      () => failing.readLog().includes("START_FAILED"),
    );
    assert.match(failing.readLog(), /EADDRINUSE/);
  });
});

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
