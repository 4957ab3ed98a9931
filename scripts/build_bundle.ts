/**
 * Bundles the program for machines that have Node.js: makes
 * target/lagoonwharf.cjs.
 *
 * @module
 */
import { bundle } from "./bundle.ts";

await bundle("target/lagoonwharf.cjs");
