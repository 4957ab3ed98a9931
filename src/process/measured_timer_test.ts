import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MeasuredTimer } from "./measured_timer.ts";
import { MetricsPage } from "./metrics_page.ts";

describe("a timer whose delay is recorded", () => {
  it("shows how long the process was stalled", async () => {
    const page = new MetricsPage();
    const delays = page.quantiles("loop_delay_milliseconds", "Delay");
    const timer = new MeasuredTimer(delays);
    const fired = new Promise<void>((resolve) => timer.schedule(resolve, 5));
    const end = performance.now() + 60;
    while (performance.now() < end) { /* Busy wait. */ }
    await fired;
    assert.ok(delays.quantile(50) >= 50);
    assert.match(
      await page.text(),
      /lagoonwharf_loop_delay_milliseconds\{quantile="0.5"\} \d+/,
    );
  });

  it("does not call back after it is stopped", async () => {
    const delays = new MetricsPage().quantiles("delay", "Delay");
    const timer = new MeasuredTimer(delays);
    let calls = 0;
    timer.schedule(() => calls++, 1);
    timer.stop();
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(calls, 0);
  });
});
