/**
 * The pages that a target serves: whether it lives, whether it takes work, its metrics.
 *
 * @module
 */
import { Hono } from "hono";
import type { Metrics } from "../process/metrics.ts";

/** What the pages show. */
export interface TargetPagesOptions {
  readonly isLeaving: () => boolean;
  readonly metrics: Metrics;
}

/**
 * Creates the pages of a target.
 *
 * @example
 * ```ts
 * const listener = createHonoListener(createTargetPages(options));
 * ```
 */
export function createTargetPages(
  { isLeaving, metrics }: TargetPagesOptions,
): Hono {
  const app = new Hono();
  app.get("/healthz", (context) => context.text("ok\n"));
  app.get(
    "/readyz",
    (context) =>
      isLeaving() ? context.text("leaving\n", 503) : context.text("ready\n"),
  );
  app.get(
    "/metrics",
    async (context) => context.text(await metrics.page()),
  );
  return app;
}
