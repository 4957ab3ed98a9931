/**
 * Version of the program.
 *
 * @module
 */
/** Version of the program, the same as in package.json. */
export const VERSION = "0.1.0";
