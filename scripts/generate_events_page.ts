/**
 * Generates docs/EVENTS.md from the catalogues of events: `npm run docs`.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { createEventsPage } from "../src/events/events_page.ts";

writeFileSync("docs/EVENTS.md", createEventsPage());
