/**
 * Bytes of the messages between processes. One frame carries all messages that
 * a process sent on one connection in one turn of its event loop.
 *
 * @module
 */
import { Packr } from "msgpackr";
import { Err, Ok, type Result } from "ts-results-es";
import { MESSAGE_SCHEMA } from "./schema.ts";
import type { Message } from "./types.ts";

/** Longest frame that is read, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Why a connection was closed, as the close code of the connection. */
export const LINK_FAULT_CODES = {
  UNREADABLE_FRAME: 4101,
  UNKNOWN_MESSAGE: 4102,
  WRONG_PROTOCOL: 4103,
  WRONG_DEPLOYMENT: 4104,
  WRONG_PROOF: 4105,
  UNEXPECTED_MESSAGE: 4106,
  HANDSHAKE_TIMEOUT: 4107,
  PEER_SILENT: 4108,
  NOT_COORDINATOR: 4109,
} as const;

/** Name of a fault for which a connection is closed. */
export type LinkFault = keyof typeof LINK_FAULT_CODES;

const PACKER = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/**
 * Packs messages into one frame.
 *
 * @example
 * ```ts
 * const frame = encodeFrame([{ kind: "leaving" }]);
 * ```
 */
export function encodeFrame(messages: readonly Message[]): Uint8Array {
  return PACKER.pack(messages);
}

/**
 * Reads a frame; a frame with one bad message is bad as a whole.
 *
 * @example
 * ```ts
 * const frame = decodeFrame(bytes);
 * if (frame.isErr()) link.close(frame.error);
 * ```
 */
export function decodeFrame(
  bytes: Uint8Array,
): Result<readonly Message[], LinkFault> {
  const unpacked = tryUnpack(bytes);
  if (!Array.isArray(unpacked)) return Err("UNREADABLE_FRAME");
  const messages: Message[] = [];
  for (const item of unpacked) {
    const parsed = MESSAGE_SCHEMA.safeParse(item);
    if (!parsed.success) return Err("UNKNOWN_MESSAGE");
    messages.push(parsed.data);
  }
  return Ok(messages);
}

function tryUnpack(bytes: Uint8Array): unknown {
  try {
    return PACKER.unpack(bytes);
  } catch {
    return undefined;
  }
}
