/**
 * Registration of one of lagoonwharf's processes in the platform's store.
 *
 * @module
 */
import * as z from "zod";
import { SOCKET_ADDRESS_SCHEMA } from "./socket_address.ts";

/** Schema of the registration of a process. */
export const PROCESS_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(["entry", "rank"]),
  address: SOCKET_ADDRESS_SCHEMA,
  failureDomain: z.string(),
  /** Rank group of the rank's engine. */
  group: z.string().optional(),
  rank: z.number().int().optional(),
  /** Host and port at which the engine accepts requests and orders. */
  engineAddress: SOCKET_ADDRESS_SCHEMA.optional(),
});

/** A registered process of lagoonwharf. */
export type ListedProcess = Readonly<z.infer<typeof PROCESS_SCHEMA>>;
