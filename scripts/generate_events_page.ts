/**
 * Makes docs/EVENTS.md from the catalogues: `npm run docs`.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { createEventsPage } from "../src/events/events_page.ts";

writeFileSync("docs/EVENTS.md", createEventsPage());
