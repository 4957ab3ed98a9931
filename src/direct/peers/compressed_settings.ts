/**
 * Compresses the text of settings between entries. A large version has thousands of rows
 * that differ in little more than their names.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { constants, deflateSync, inflateSync } from "node:zlib";
import { Err, Ok, type Result } from "ts-results-es";
import { MAX_FRAME_BYTES } from "../../messages/codec.ts";
import type { StoreUpdateMessage } from "../../messages/peer_types.ts";

/** Compresses texts, each once for all entries that receive it. */
export class SettingsCompressor {
  #text: string | undefined;
  #compressed = new Uint8Array();

  /** Returns the compressed text. */
  compress(text: string): Uint8Array {
    if (text !== this.#text) {
      this.#text = text;
      this.#compressed = deflateSync(Buffer.from(text), {
        level: constants.Z_BEST_SPEED,
      });
    }
    return this.#compressed;
  }
}

/**
 * Returns the text of the settings in an update, undefined if it has none; an error if the
 * text cannot be decompressed.
 *
 * @example
 * ```ts
 * const text = readSettingsText(update).unwrapOr(undefined);
 * ```
 */
export function readSettingsText(
  { settingsText, compressedSettings }: StoreUpdateMessage,
): Result<string | undefined, Error> {
  if (compressedSettings === undefined) return Ok(settingsText);
  try {
    const bytes = inflateSync(compressedSettings, {
      maxOutputLength: MAX_FRAME_BYTES,
    });
    return Ok(bytes.toString());
  } catch (error) {
    return Err(error as Error);
  }
}
