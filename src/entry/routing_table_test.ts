import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import { createDocuments } from "../testing/fixtures.ts";
import { RoutingTable } from "./routing_table.ts";

const ORGANISATIONS = ["a", "b"] as const;
const SERVICES = ["one", "two", "three"] as const;
const PREFIXES = ["/x", "/x/y", "/z", "/"] as const;
const SEED = 20261202;

interface Change {
  readonly path: string;
  /** Undefined: the path is removed. */
  readonly text: string | undefined;
}

const CHANGE: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    path: fc.constantFrom(...ORGANISATIONS).map((name) =>
      `/organisations/${name}`
    ),
    text: fc.option(
      fc.integer({ min: 1, max: 9 }).map((weight) =>
        `kind: organisation\nweight: ${weight}`
      ),
      { nil: undefined },
    ),
  }),
  fc.record({
    path: fc.tuple(
      fc.constantFrom(...ORGANISATIONS),
      fc.constantFrom(...SERVICES),
    ).map(([name, service]) => `/organisations/${name}/services/${service}`),
    text: fc.option(
      fc.constantFrom(...PREFIXES).map((prefix) =>
        `kind: service\npathPrefix: ${prefix}\npool: p`
      ),
      { nil: undefined },
    ),
  }),
);

/** Describes all routes of a table, including weights. */
function summaryOf(table: RoutingTable): string {
  return JSON.stringify([
    table.size,
    [...table.routes()].map((route) => [route.servicePath, route.limits.weight])
      .sort(),
  ]);
}

/** Whether two services share a prefix, which the check of settings forbids. */
function hasSharedPrefix(
  documents: ReadonlyMap<string, SettingsDocument>,
): boolean {
  const prefixes = [...documents.values()].flatMap((document) =>
    document.kind === "service" ? [document.pathPrefix] : []
  );
  return new Set(prefixes).size < prefixes.length;
}

describe("routing table", () => {
  it("follows the drained failure domains of the settings", () => {
    const path = "/failure-domains/a";
    const createDomain = (text: string) => createDocuments([{ path, text }]);
    const documents = createDomain("kind: failure_domain\ndraining: true");
    const table = new RoutingTable(documents);
    assert.deepEqual([...table.drainedFailureDomains], ["a"]);
    table.refresh([path], createDomain("kind: failure_domain"));
    assert.deepEqual([...table.drainedFailureDomains], []);
    table.refresh([path], documents);
    assert.deepEqual([...table.drainedFailureDomains], ["a"]);
    table.refresh([path], new Map());
    assert.deepEqual([...table.drainedFailureDomains], []);
  });

  it("is the same after updates as one that is built from scratch", () => {
    fc.assert(
      fc.property(
        fc.array(fc.array(CHANGE, { minLength: 1, maxLength: 4 }), {
          maxLength: 12,
        }),
        (batches) => {
          const documents = new Map<string, SettingsDocument>();
          const table = new RoutingTable(documents);
          for (const batch of batches) {
            for (const { path, text } of batch) {
              if (text === undefined) documents.delete(path);
              else {
                const [document] = createDocuments([{ path, text }]).values();
                documents.set(path, document as SettingsDocument);
              }
            }
            table.refresh(batch.map((change) => change.path), documents);
            // After two services have shared a prefix, either may keep it.
            if (hasSharedPrefix(documents)) return;
            const rebuilt = new RoutingTable(documents);
            assert.equal(summaryOf(table), summaryOf(rebuilt));
          }
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it("selects the longest prefix that consists of complete path segments", () => {
    const documents = createDocuments([
      { path: "/organisations/a", text: "kind: organisation" },
      {
        path: "/organisations/a/services/short",
        text: "kind: service\npathPrefix: /x\npool: p",
      },
      {
        path: "/organisations/a/services/long",
        text: "kind: service\npathPrefix: /x/y/\npool: p",
      },
    ]);
    const table = new RoutingTable(documents);
    const rows = [
      ["/x", "/organisations/a/services/short"],
      ["/x/z", "/organisations/a/services/short"],
      ["/x/y/z", "/organisations/a/services/long"],
      ["/xy", undefined],
      ["/", undefined],
    ] as const;
    for (const [path, service] of rows) {
      assert.equal(table.tryFindRoute({ path })?.servicePath, service, path);
    }
  });

  // Guards against a service that loses requests for the path of its prefix.
  it("selects a prefix for its own path, with and without a last slash", () => {
    for (const pathPrefix of ["/x", "/x/"]) {
      const documents = createDocuments([
        { path: "/organisations/a", text: "kind: organisation" },
        {
          path: "/organisations/a/services/one",
          text: `kind: service\npathPrefix: ${pathPrefix}\npool: p`,
        },
      ]);
      const table = new RoutingTable(documents);
      for (const path of ["/x", "/x/", "/x/y"]) {
        assert.ok(table.tryFindRoute({ path }) !== undefined, path);
      }
    }
  });

  // Guards against a service whose host has a port and that gets no requests.
  it("selects a host with its port, then the host, then any host", () => {
    const createService = (name: string, host: string) => ({
      path: `/organisations/a/services/${name}`,
      text: `kind: service\n${host}pathPrefix: /${name}\npool: p`,
    });
    const documents = createDocuments([
      { path: "/organisations/a", text: "kind: organisation" },
      createService("x", "host: one.example:8080\n"),
      createService("y", "host: one.example\n"),
      createService("z", ""),
    ]);
    const table = new RoutingTable(documents);
    const listFound = (host: string) =>
      ["/x", "/y", "/z"].filter((path) =>
        table.tryFindRoute({ host, path }) !== undefined
      );
    assert.deepEqual(listFound("One.example:8080"), ["/x", "/y", "/z"]);
    assert.deepEqual(listFound("one.example:9090"), ["/y", "/z"]);
    assert.deepEqual(listFound("one.example"), ["/y", "/z"]);
    assert.deepEqual(listFound("two.example:8080"), ["/z"]);
  });

  // Guards against a host that takes over a part of the path of another host's route.
  it("keeps the host of a request apart from its path", () => {
    const service = "kind: service\nhost: one.example\npool: p\n";
    const documents = createDocuments([
      { path: "/organisations/a", text: "kind: organisation" },
      {
        path: "/organisations/a/services/one",
        text: `${service}pathPrefix: /x/y`,
      },
    ]);
    const table = new RoutingTable(documents);
    const find = (host: string, path: string) =>
      table.tryFindRoute({ host, path })?.servicePath;
    assert.ok(find("one.example", "/x/y/z") !== undefined);
    assert.equal(find("one.example/x", "/y/z"), undefined);
  });
});
