/**
 * Serves a `hono` application on an {@link HttpListener}.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { getRequestListener } from "@hono/node-server";
import type { Hono } from "hono";
import { HttpListener } from "./http_listener.ts";

/**
 * Creates a listener for the application, without listening yet.
 *
 * @example
 * ```ts
 * const listener = createHonoListener(new Hono());
 * ```
 */
// deno-lint-ignore no-explicit-any
export function createHonoListener(app: Hono<any>): HttpListener {
  const handle = getRequestListener(app.fetch, {
    overrideGlobalObjects: false,
  });
  return new HttpListener(handle as RequestListener);
}
