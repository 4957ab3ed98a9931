/**
 * One of the system's own processes, as it lists itself in the platform's store.
 *
 * @module
 */
import * as z from "zod";

/** Shape of a process on the list. */
export const PROCESS_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(["entry", "rank"]),
  address: z.string(),
  failureDomain: z.string(),
  /** The rank group of a rank's engine. */
  group: z.string().optional(),
  rank: z.number().int().optional(),
  /** Host and port at which that engine takes requests and orders. */
  engineAddress: z.string().optional(),
});

/** One of the system's own processes. */
export type ListedProcess = Readonly<z.infer<typeof PROCESS_SCHEMA>>;
