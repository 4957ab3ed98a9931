/**
 * Guards against addresses that end a process: the client libraries throw an exception
 * at an address that they cannot parse, when the first connection is made.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { Client } from "undici";
import { WebSocket } from "ws";
import {
  SOCKET_ADDRESS_SCHEMA,
  tryParseSocketAddress,
} from "./socket_address.ts";

const SEED = 20261204;
const ADDRESSES = ["10.0.0.1:80", "127.0.0.1:65535", "[2001:db8::1]:8080"];
const NO_ADDRESSES = [
  "",
  "nowhere",
  "localhost:80",
  "10.0.0.1",
  "10.0.0.1:",
  "10.0.0.1:0",
  "10.0.0.1:65536",
  "10.0.0.1:80800",
  "10.0.0.1:080800",
  "10.0.0.1:8e1",
  "10.0.0.1:-1",
  " 10.0.0.1:80",
  "10.0.0.1:80\n",
  "10.0.0.1:80/path",
  "user@10.0.0.1:80",
  "10.0.0:80",
  "999.1.1.1:8080",
  "010.1.1.1:80",
  "[10.0.0.1]:80",
  ":::8080",
  "::1:8080",
  "[::1:8080",
  "::1]:8080",
  "[]:8080",
  "[[::1]]:8080",
  "[fe80::1%eth0]:8080",
  "[::ffff:999.1.1.1]:8080",
  "[1::2::3]:8080",
];

describe("an address that another process told", () => {
  it("is accepted if it is an IP address and a port", () => {
    for (const text of ADDRESSES) {
      assert.equal(tryParseSocketAddress(text), text);
      assert.equal(SOCKET_ADDRESS_SCHEMA.parse(text), text);
    }
  });

  it("is refused otherwise", () => {
    for (const text of NO_ADDRESSES) {
      assert.equal(tryParseSocketAddress(text), undefined, text);
      assert.ok(!SOCKET_ADDRESS_SCHEMA.safeParse(text).success, text);
    }
  });

  it("can be connected to by the client libraries if it is accepted", () => {
    const host = fc.oneof(
      fc.ipV4(),
      fc.ipV4Extended(),
      fc.ipV6(),
      fc.ipV6().map((text) => `[${text}]`),
      fc.ipV4().map((text) => `[::ffff:${text}]`),
      fc.string({ unit: fc.constantFrom(..."0123456789abf.:[]%") }),
    );
    const address = fc.tuple(host, fc.nat(99_999))
      .map(([text, port]) => `${text}:${port}`);
    let accepted = 0;
    fc.assert(
      fc.property(address, (text) => {
        if (tryParseSocketAddress(text) === undefined) return;
        accepted++;
        new Client(`http://${text}`);
        const socket = new WebSocket(`ws://${text}/`, { autoPong: false });
        socket.on("error", () => {/* Terminated before it connects. */});
        socket.terminate();
      }),
      { seed: SEED, numRuns: 1000 },
    );
    assert.ok(accepted > 100, `${accepted} accepted`);
  });
});
