import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createCallerRequest, createDocuments } from "../testing/fixtures.ts";
import { InFlightRequest } from "./in_flight_request.ts";
import { RoutingTable } from "./routing_table.ts";

const OBJECTIVE_MS = 400;

/** Priorities in the settings. */
interface Priorities {
  /** Priorities of the services `/s0`, `/s1` and so on, which share one pool. */
  readonly services: readonly (number | string)[];
  /** Priority of the organisation that owns them. */
  readonly organisation?: number;
}

function createTable({ services, organisation }: Priorities): RoutingTable {
  const priority = organisation === undefined
    ? ""
    : `priority: ${organisation}`;
  return new RoutingTable(createDocuments([
    {
      path: "/organisations/andamaq",
      text: `kind: organisation\n${priority}`,
    },
    ...services.map((servicePriority, index) => ({
      path: `/organisations/andamaq/services/s${index}`,
      text: [
        "kind: service",
        `pathPrefix: /s${index}`,
        "pool: confirm",
        `objectiveMs: ${OBJECTIVE_MS}`,
        `priority: ${servicePriority}`,
      ].join("\n"),
    })),
  ]));
}

function priorityOf(
  priorities: Priorities,
  options: { readonly requested?: number } = {},
): number {
  const table = createTable(priorities);
  const route = table.tryFindRoute({ path: "/s0" });
  assert.ok(route);
  const request = createCallerRequest({ priority: options.requested });
  const inFlight = new InFlightRequest(request, route, {
    arrivedAt: 0,
    deadlineAt: 8000,
    pool: "confirm",
    poolPriorities: table.priorities.tryPrioritiesOf("confirm"),
    digestKey: "",
  });
  return inFlight.priority;
}

describe("priority of a request", () => {
  it("is the service's, given as a name or a number", () => {
    assert.equal(priorityOf({ services: ["quick", "background"] }), 3);
    assert.equal(priorityOf({ services: [0, 9] }), 0);
  });

  it("is the organisation's if the services of the pool differ in priority", () => {
    assert.equal(priorityOf({ services: [3, 5], organisation: 7 }), 7);
    const options = { requested: 1 };
    assert.equal(priorityOf({ services: [3, 5], organisation: 7 }, options), 1);
  });

  it("ignores the organisation if all services of the pool have the same priority", () => {
    const rows = [["quick", 3], ["normal", 5], ["background", 7]] as const;
    for (const [name, priority] of rows) {
      const priorities = { services: [name], organisation: 0 };
      assert.equal(priorityOf(priorities), priority);
    }
  });

  it("follows changed and removed services", () => {
    const table = createTable({ services: [3, 5] });
    const path = "/organisations/andamaq/services/s0";
    assert.deepEqual(table.priorities.tryPrioritiesOf("confirm"), [3, 5]);
    const changed = createDocuments([
      { path: "/organisations/andamaq", text: "kind: organisation" },
      { path, text: "kind: service\npathPrefix: /s0\npool: confirm" },
    ]);
    table.refresh([path], changed);
    assert.equal(table.priorities.tryPrioritiesOf("confirm"), undefined);
    table.refresh([path], new Map());
    assert.equal(table.priorities.tryPrioritiesOf("confirm"), undefined);
  });
});
