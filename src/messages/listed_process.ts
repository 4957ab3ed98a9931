/**
 * Registration of one of lagoonwharf's processes in the platform's store.
 *
 * @module
 */
import * as z from "zod";

/** Schema of the registration of a process. */
export const PROCESS_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(["entry", "rank"]),
  address: z.string(),
  failureDomain: z.string(),
  /** Rank group of the rank's engine. */
  group: z.string().optional(),
  rank: z.number().int().optional(),
  /** Host and port at which the engine accepts requests and orders. */
  engineAddress: z.string().optional(),
});

/** A registered process of lagoonwharf. */
export type ListedProcess = Readonly<z.infer<typeof PROCESS_SCHEMA>>;
