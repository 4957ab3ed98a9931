import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import { createDocuments } from "../testing/fixtures.ts";
import { SettingsRoutes } from "./settings_routes.ts";

const ORGANISATION = {
  path: "/organisations/andamaq",
  text: "kind: organisation",
};

function createService(name: string, pathPrefix: string, pool: string) {
  return {
    path: `/organisations/andamaq/services/${name}`,
    text: `kind: service\npathPrefix: ${pathPrefix}\npool: ${pool}`,
  };
}

/** Returns the documents, with the same objects as `known` for the paths in `same`. */
function createVersion(
  services: readonly ReturnType<typeof createService>[],
  known: ReadonlyMap<string, SettingsDocument> = new Map(),
  same: readonly string[] = [],
): ReadonlyMap<string, SettingsDocument> {
  const documents = createDocuments([ORGANISATION, ...services]);
  return new Map(
    [...documents].map(([path, document]) => {
      const isSame = same.some((name) => path.endsWith(name));
      return [path, isSame ? known.get(path) ?? document : document];
    }),
  );
}

/**
 * Guards against versions that are in force late because each builds all routes anew, and
 * against routes of an older version that stay in an updated table.
 */
describe("the routes of a new version", () => {
  it("are updated where documents were added, replaced and removed", () => {
    const settingsRoutes = new SettingsRoutes();
    const first = createVersion([
      createService("a", "/a", "one"),
      createService("b", "/b", "one"),
      createService("c", "/c", "one"),
    ]);
    const before = settingsRoutes.apply(first).routes;
    const kept = before.tryFindRoute({ path: "/a/x" });
    const second = createVersion(
      [
        createService("a", "/a", "one"),
        createService("b", "/b2", "two"),
        createService("d", "/d", "one"),
      ],
      first,
      ["andamaq", "/a"],
    );
    const { routes, changed } = settingsRoutes.apply(second);
    assert.equal(routes.tryFindRoute({ path: "/a/x" }), kept);
    const pools = ["/b/x", "/b2/x", "/c/x", "/d/x"].map((path) =>
      routes.tryFindRoute({ path })?.service.pool
    );
    assert.deepEqual(pools, [undefined, "two", undefined, "one"]);
    assert.deepEqual(
      changed?.map((path) => path.at(-1)).sort(),
      ["b", "c", "d"],
    );
  });

  it("are those of the whole version while services share a prefix", () => {
    const settingsRoutes = new SettingsRoutes();
    const a = createService("a", "/a", "one");
    const b = createService("b", "/a", "two");
    const first = createVersion([a, b]);
    settingsRoutes.apply(first);
    const replaced = createService("a", "/a", "three");
    const second = createVersion([replaced, b], first, ["andamaq", "/b"]);
    const shared = settingsRoutes.apply(second).routes;
    assert.equal(shared.tryFindRoute({ path: "/a/x" })?.service.pool, "two");
    const third = createVersion([replaced], second, ["andamaq", "/a"]);
    const alone = settingsRoutes.apply(third).routes;
    assert.equal(alone.tryFindRoute({ path: "/a/x" })?.service.pool, "three");
  });
});
