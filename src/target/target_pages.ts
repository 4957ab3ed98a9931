/**
 * The HTTP pages of a target: liveness, readiness and metrics.
 *
 * @module
 */
import { Hono } from "hono";
import type { Metrics } from "../process/metrics.ts";

/** Options of {@link createTargetPages}. */
export interface TargetPagesOptions {
  readonly isLeaving: () => boolean;
  readonly metrics: Metrics;
}

/**
 * Creates the HTTP pages of a target.
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
