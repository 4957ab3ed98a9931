import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { request } from "undici";
import { findFreeAddress } from "../testing/free_address.ts";
import { HttpListener } from "./http_listener.ts";
import { createTextPages, type TextPages } from "./text_pages.ts";

const PAGES: TextPages = {
  "/ready": () => ({ status: 200, text: "ready\n" }),
  "/broken": () => {
    throw new Error("Cannot be read");
  },
};

describe("pages of text", () => {
  const listeners: HttpListener[] = [];
  afterEach(() => listeners.splice(0).forEach((one) => one.close()));

  async function read(path: string, method: "GET" | "POST" = "GET") {
    const address = await findFreeAddress();
    const listener = new HttpListener(createTextPages(PAGES));
    listeners.push(listener);
    await listener.listen(address);
    const url = `http://${address}${path}`;
    const { statusCode, body } = await request(url, { method });
    return { status: statusCode, text: await body.text() };
  }

  it("are found by their path for any query", async () => {
    assert.deepEqual(await read("/ready?x=1"), {
      status: 200,
      text: "ready\n",
    });
  });

  it("are not found at other paths or with other methods", async () => {
    assert.equal((await read("/constructor")).status, 404);
    assert.equal((await read("/ready", "POST")).status, 404);
  });

  it("that cannot be read return a server error", async () => {
    assert.equal((await read("/broken")).status, 500);
  });
});
