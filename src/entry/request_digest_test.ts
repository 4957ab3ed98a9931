import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { createCallerRequest } from "../testing/fixtures.ts";
import { digestRequest } from "./request_digest.ts";
import type { CallerRequest } from "./types.ts";

const SCOPE = { key: "a secret of the deployment", organisation: "andamaq" };

function digestOf(changes: Partial<CallerRequest>): string {
  return digestRequest(createCallerRequest(changes), SCOPE);
}

describe("the digest of a request", () => {
  it("is the same if the request is repeated with another id and other headers", () => {
    const repeated: Partial<CallerRequest> = {
      id: 7,
      correlationId: "another",
      deadlineMs: 100,
      headers: [["last-event-id", "3"]],
      accessKeySha256: "a newer key",
    };
    assert.equal(digestOf(repeated), digestOf({}));
  });

  it("differs for another method, host, path or body", () => {
    const others: readonly Partial<CallerRequest>[] = [
      { method: "PUT" },
      { host: "desk.example" },
      { path: "/confirm?again" },
      { body: Buffer.from("other") },
      { path: '/confirm","body', body: Buffer.from("") },
    ];
    const digests = new Set([{}, ...others].map(digestOf));
    assert.equal(digests.size, others.length + 1);
  });

  it("differs for another organisation or deployment", () => {
    const request = createCallerRequest();
    const digests = [
      SCOPE,
      { ...SCOPE, organisation: "coolabah" },
      { ...SCOPE, key: "another secret of a deployment" },
    ].map((scope) => digestRequest(request, scope));
    assert.equal(new Set(digests).size, digests.length);
  });
});
