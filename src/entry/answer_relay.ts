/**
 * Decides which parts of a target's answer are sent to the caller, and when.
 *
 * @module
 */
import { Debug } from "../core/debug.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { EntryEffect } from "./types.ts";

/** Result of relaying a chunk of an answer. */
export interface RelayedChunk {
  readonly effects: readonly EntryEffect[];
  /** Whether events of the stream are missing or repeated, or one is too long. */
  readonly isBroken: boolean;
}

/**
 * Relays the head of an answer. Short answers are held until they are complete. An
 * event stream starts with its first event, so that an attempt that fails before it can
 * be replaced by another one, including its head.
 */
export function relayHead(inFlight: InFlightRequest): readonly EntryEffect[] {
  const isDelayed = inFlight.isHeldUntilComplete ||
    inFlight.cursor !== undefined;
  return isDelayed ? [] : startStreaming(inFlight);
}

/** Relays a chunk of an answer; of an event stream, only complete events. */
export function relayChunk(
  inFlight: InFlightRequest,
  bytes: Uint8Array,
): RelayedChunk {
  if (inFlight.isHeldUntilComplete) return { effects: [], isBroken: false };
  const progress = inFlight.cursor?.push(bytes);
  const effects = sendBytes(inFlight, progress?.events ?? bytes);
  return { effects, isBroken: progress?.isBroken ?? false };
}

/** Relays the end of a complete answer. */
export function relayEnd(inFlight: InFlightRequest): readonly EntryEffect[] {
  const { request, head, heldChunks } = inFlight;
  const requestId = request.id;
  if (inFlight.isHeldUntilComplete) {
    const { status, headers } = Debug.getDefined(
      head,
      "A held answer has a head",
    );
    return [{
      kind: "whole_answer",
      requestId,
      status,
      headers,
      body: heldChunks,
    }];
  }
  return [
    ...startStreaming(inFlight),
    ...sendBytes(inFlight, inFlight.cursor?.takeRemainder()),
    { kind: "finish_answer", requestId },
  ];
}

function startStreaming(inFlight: InFlightRequest): readonly EntryEffect[] {
  const { head, isStreaming, request } = inFlight;
  if (isStreaming || head === undefined) return [];
  inFlight.startStreaming();
  const { status, headers } = head;
  return [{ kind: "start_answer", requestId: request.id, status, headers }];
}

function sendBytes(
  inFlight: InFlightRequest,
  bytes: Uint8Array | undefined,
): readonly EntryEffect[] {
  if (bytes === undefined || bytes.length === 0) return [];
  const requestId = inFlight.request.id;
  return [
    ...startStreaming(inFlight),
    { kind: "continue_answer", requestId, bytes },
  ];
}
