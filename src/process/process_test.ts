import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { ModelEngineStandIn } from "../../standins/model_engine_stand_in.ts";
import { PlainServiceStandIn } from "../../standins/plain_service_stand_in.ts";
import {
  ProcessCluster,
  type RunningProcess,
  waitForExit,
  waitUntil,
} from "../testing/process_cluster.ts";

const CONFIRM_SERVICE = "kind: service\npathPrefix: /confirm\npool: confirm\n";
const PLAN_SERVICE = "kind: service\npathPrefix: /plan\npool: plan\n";

interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

async function call(
  entry: RunningProcess,
  path: string,
  options: CallOptions = {},
): Promise<Answer> {
  const response = await request(`http://${entry.address}${path}`, {
    method: (options.method ?? "POST") as "POST",
    headers: options.headers,
    body: options.body ?? "body",
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    text: await response.body.text(),
  };
}

/** Opens a stream of tokens and waits for its first bytes. */
async function openStream(entry: RunningProcess, tokens: number) {
  const response = await request(`http://${entry.address}/plan`, {
    method: "POST",
    body: JSON.stringify({ max_tokens: tokens }),
  });
  const iterator = response.body[Symbol.asyncIterator]();
  const first = await iterator.next();
  async function readRest(): Promise<string> {
    let text = String(first.value);
    for (;;) {
      const next = await iterator.next();
      if (next.done) return text;
      text += String(next.value);
    }
  }
  return { readRest };
}

async function applyAll(
  cluster: ProcessCluster,
  entry: RunningProcess,
): Promise<number> {
  await cluster.apply(entry, "/organisations/a", "kind: organisation\n");
  const services = "/organisations/a/services";
  await cluster.apply(entry, `${services}/confirm`, CONFIRM_SERVICE);
  return await cluster.apply(entry, `${services}/plan`, PLAN_SERVICE);
}

describe("entry and targets as processes", () => {
  let cluster: ProcessCluster;
  let entry: RunningProcess;
  let plain: PlainServiceStandIn;
  const targets = new Map<string, RunningProcess>();
  const engines = new Map<string, ModelEngineStandIn>();

  async function startPlanTarget(name: string): Promise<RunningProcess> {
    const engine = new ModelEngineStandIn({
      name,
      stepMs: 5,
      defaultTokens: 3,
    });
    engines.set(name, engine);
    return await cluster.startTarget(name, await cluster.listen(engine), {
      ownsKeys: false,
    });
  }

  before(async () => {
    cluster = await ProcessCluster.create();
    entry = await cluster.startEntry("entry-1");
    plain = new PlainServiceStandIn("confirm");
    targets.set(
      "confirm-1",
      await cluster.startTarget("confirm-1", await cluster.listen(plain)),
    );
    await startPlanTarget("plan-1");
    await cluster.waitForTargets(entry, ["confirm-1", "plan-1"]);
    await cluster.waitForRevision(entry, await applyAll(cluster, entry));
  });

  after(async () => await cluster.close());

  it("serves a request end to end", async () => {
    const answer = await call(entry, "/confirm/7?x=1", { body: "hello" });
    assert.equal(answer.status, 200);
    const body = JSON.parse(answer.text);
    assert.equal(body.path, "/confirm/7?x=1");
    assert.equal(body.received, "hello");
  });

  it("streams all tokens", async () => {
    const answer = await call(entry, "/plan", { body: '{"max_tokens":4}' });
    assert.match(answer.text, /token 4\n\ndata: \[DONE\]/);
    assert.equal(answer.headers["content-type"], "text/event-stream");
  });

  it("runs a key once and repeats its answer", async () => {
    const options = { headers: { "idempotency-key": "key-once" } };
    const isAnswered = async () =>
      (await call(entry, "/confirm", options)).status === 200;
    await waitUntil("the key's slot has an owner", isAnswered);
    const again = await call(entry, "/confirm", options);
    assert.equal(again.status, 200);
    assert.equal(plain.getRunCount("key-once"), 1);
  });

  it("reports the outcome of a request that is refused", async () => {
    const answer = await call(entry, "/nowhere");
    assert.equal(answer.status, 404);
    assert.equal(answer.headers["content-type"], "application/problem+json");
    const problem = JSON.parse(answer.text);
    assert.equal(problem.outcome, "not-run");
    assert.equal(problem.code, 4001);
  });

  it("refuses malformed requests with a 4xx", async () => {
    const rows: readonly (CallOptions & { readonly code: number })[] = [
      { headers: { "lagoonwharf-deadline-ms": "soon" }, code: 4003 },
      { headers: { "idempotency-key": "k".repeat(256) }, code: 4004 },
      { headers: { "lagoonwharf-priority": "highest" }, code: 4008 },
      { headers: {}, body: "x".repeat(1_048_577), code: 4002 },
    ];
    for (const { code, ...options } of rows) {
      const answer = await call(entry, "/confirm", options);
      assert.ok(answer.status >= 400 && answer.status < 500);
      const problem = JSON.parse(answer.text);
      assert.equal(problem.code, code);
      assert.equal(problem.submission, "not-run");
      // Another submission of the key may have run.
      const isKeyed = options.headers?.["idempotency-key"] !== undefined;
      assert.equal(problem.outcome, isKeyed ? "unknown" : "not-run");
    }
  });

  it("answers at the deadline even if the back end is stuck", async () => {
    plain.faults.isUnresponsive = true;
    const answer = await call(entry, "/confirm", {
      headers: { "lagoonwharf-deadline-ms": "100" },
    });
    plain.faults.isUnresponsive = false;
    assert.equal(answer.status, 504);
    assert.equal(JSON.parse(answer.text).outcome, "unknown");
    await waitUntil("the back end is cancelled", () => plain.cancelled > 0);
  });

  it("does not retry a request that may have run", async () => {
    const runs = plain.runs;
    plain.faults.lostAnswers = 1;
    const answer = await call(entry, "/confirm");
    assert.equal(answer.status, 502);
    assert.equal(JSON.parse(answer.text).outcome, "unknown");
    assert.equal(plain.runs, runs + 1);
  });

  it("does not treat a truncated answer as complete", async () => {
    plain.faults.truncatedAnswers = 1;
    const answer = await call(entry, "/confirm");
    assert.equal(answer.status, 502);
  });

  it("cancels the request at the engine when the caller disconnects", async () => {
    const engine = engines.get("plan-1") as ModelEngineStandIn;
    const abort = new AbortController();
    const response = await request(`http://${entry.address}/plan`, {
      method: "POST",
      body: '{"max_tokens":100000}',
      signal: abort.signal,
    });
    response.body.on("error", () => undefined);
    abort.abort();
    await waitUntil("the engine cancels", () => engine.cancelled > 0);
    assert.equal(engine.running, 0);
  });

  it("counts refusals by reason", async () => {
    const page = await request(`http://${entry.administrationAddress}/metrics`);
    const text = await page.body.text();
    assert.match(text, /lagoonwharf_refusals_total\{reason="NO_ROUTE"\} 1/);
    assert.match(text, /lagoonwharf_refusals_total\{reason="DEADLINE"\} 1/);
  });

  // Deployments without the platform's store can drain only through settings.
  it("refuses immediately while settings drain all targets, and serves afterwards", async () => {
    const path = "/failure-domains/a";
    const setDraining = async (draining: boolean) => {
      const text = `kind: failure_domain\ndraining: ${draining}\n`;
      const revision = await cluster.apply(entry, path, text);
      await cluster.waitForRevision(entry, revision);
    };
    await setDraining(true);
    const refused = await call(entry, "/confirm");
    assert.equal(refused.status, 503);
    assert.equal(JSON.parse(refused.text).code, 5036);
    await setDraining(false);
    assert.equal((await call(entry, "/confirm")).status, 200);
  });

  it("cuts off a stream whose target is killed, and serves with other targets", async () => {
    const killed = await startPlanTarget("plan-2");
    await cluster.waitForTargets(entry, ["plan-2"]);
    // Only the target to be killed serves until the streams are open.
    cluster.setState("plan-1", "leaving");
    const engine = engines.get("plan-2") as ModelEngineStandIn;
    await waitUntil("new requests go to the target to be killed", async () => {
      await call(entry, "/plan");
      return engine.finished > 3;
    });
    const stream = await openStream(entry, 100_000);
    killed.child.kill("SIGKILL");
    await assert.rejects(stream.readRest());
    cluster.setState("plan-2", "gone");
    cluster.setState("plan-1", "live");
    await waitUntil("the other target serves", async () => {
      const answer = await call(entry, "/plan");
      return answer.status === 200 && answer.text.includes("plan-1 token 1");
    });
  });

  it("drains a target without cutting off its stream", async () => {
    const leaving = await startPlanTarget("plan-3");
    await cluster.waitForTargets(entry, ["plan-3"]);
    cluster.setState("plan-1", "leaving");
    const engine = engines.get("plan-3") as ModelEngineStandIn;
    await waitUntil("new requests go to the leaving target", async () => {
      await call(entry, "/plan");
      return engine.finished > 3;
    });
    const stream = await openStream(entry, 200);
    cluster.setState("plan-1", "live");
    leaving.child.kill("SIGTERM");
    const text = await stream.readRest();
    assert.match(text, /plan-3 token 200\n\ndata: \[DONE\]/);
    assert.equal(await waitForExit(leaving.child), 0);
    cluster.setState("plan-3", "gone");
  });

  it("hands over the keys of a target that is drained", async () => {
    const second = new PlainServiceStandIn("confirm");
    await cluster.startTarget("confirm-2", await cluster.listen(second));
    await cluster.waitForTargets(entry, ["confirm-2"]);
    const keys = Array.from(
      { length: 8 },
      (_, index) => `handed-over-${index}`,
    );
    const submit = (key: string) =>
      call(entry, "/confirm", { headers: { "idempotency-key": key } });
    const answers = await Promise.all(keys.map(submit));
    const first = targets.get("confirm-1") as RunningProcess;
    cluster.setState("confirm-1", "leaving");
    first.child.kill("SIGTERM");
    assert.equal(await waitForExit(first.child), 0);
    cluster.setState("confirm-1", "gone");
    for (const [index, key] of keys.entries()) {
      let again = await submit(key);
      await waitUntil("the key has an owner", async () => {
        again = await submit(key);
        return JSON.parse(again.text).reason !== "NO_KEY_OWNER";
      });
      assert.equal(again.text, answers[index]?.text);
      assert.equal(plain.getRunCount(key) + second.getRunCount(key), 1);
    }
  });

  it("drains an entry without cutting off its stream", async () => {
    const second = await cluster.startEntry("entry-2");
    await cluster.waitForTargets(second, ["plan-1"]);
    await cluster.waitForRevision(second, 3);
    const stream = await openStream(second, 200);
    second.child.kill("SIGTERM");
    await waitUntil("no new connections are accepted", async () => {
      try {
        await call(second, "/plan");
        return false;
      } catch {
        return true;
      }
    });
    assert.match(await stream.readRest(), /token 200\n\ndata: \[DONE\]/);
    assert.equal(await waitForExit(second.child), 0);
  });

  it("ends at a second signal and logs how many requests were cut off", async () => {
    const second = await cluster.startEntry("entry-3");
    await cluster.waitForTargets(second, ["plan-1"]);
    await cluster.waitForRevision(second, 3);
    const stream = await openStream(second, 100_000);
    second.child.kill("SIGTERM");
    await waitUntil("it drains", () => second.readLog().includes("DRAINING"));
    second.child.kill("SIGTERM");
    await assert.rejects(stream.readRest());
    assert.equal(await waitForExit(second.child), 3);
    assert.match(second.readLog(), /CUT_AT_END.*"cut":1/);
  });
});
