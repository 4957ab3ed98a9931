/**
 * Encodes and decodes the messages between processes. One frame carries all messages
 * that a process sent on one connection during one iteration of its event loop.
 *
 * @module
 */
import { Packr } from "msgpackr";
import { Err, Ok, type Result } from "ts-results-es";
import { MESSAGE_SCHEMA } from "./schema.ts";
import type { Message } from "./types.ts";

/** Maximum length of a received frame, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** WebSocket close codes for the faults that close a connection. */
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

/** Name of a fault that closes a connection. */
export type LinkFault = keyof typeof LINK_FAULT_CODES;

const PACKER = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/**
 * Encodes messages as one frame.
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
 * Decodes a frame; one invalid message makes the whole frame invalid.
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
