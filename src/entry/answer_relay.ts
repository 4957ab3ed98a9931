/**
 * What of a target's answer goes to the caller, and when.
 *
 * @module
 */
import { Debug } from "../core/debug.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { EntryEffect } from "./types.ts";

/** What a piece of an answer leads to. */
export interface RelayedPiece {
  readonly effects: readonly EntryEffect[];
  /** Whether an event of a stream does not follow the one before it. */
  readonly hasGap: boolean;
}

/**
 * Relays the head of an answer. Short answers are held until they are whole. An
 * event stream starts with its first event, so that a run that breaks before it
 * can be replaced by another, head included.
 */
export function relayHead(inFlight: InFlightRequest): readonly EntryEffect[] {
  const isLater = inFlight.isHeldUntilWhole || inFlight.cursor !== undefined;
  return isLater ? [] : startStreaming(inFlight);
}

/** Relays a piece of an answer; of an event stream, its whole events. */
export function relayPiece(
  inFlight: InFlightRequest,
  bytes: Uint8Array,
): RelayedPiece {
  if (inFlight.isHeldUntilWhole) return { effects: [], hasGap: false };
  const progress = inFlight.cursor?.push(bytes);
  const effects = sendBytes(inFlight, progress?.events ?? bytes);
  return { effects, hasGap: progress?.hasGap ?? false };
}

/** Relays the end of a whole answer. */
export function relayEnd(inFlight: InFlightRequest): readonly EntryEffect[] {
  const { request, head, held } = inFlight;
  const requestId = request.id;
  if (inFlight.isHeldUntilWhole) {
    const { status, headers } = Debug.getDefined(head, "It has a head");
    return [{ kind: "whole_answer", requestId, status, headers, body: held }];
  }
  return [
    ...startStreaming(inFlight),
    ...sendBytes(inFlight, inFlight.cursor?.takeRest()),
    { kind: "finish_answer", requestId },
  ];
}

function startStreaming(inFlight: InFlightRequest): readonly EntryEffect[] {
  const { head, isStreaming, request } = inFlight;
  if (isStreaming || head === undefined) return [];
  inFlight.startStreaming();
  const { status, headers, endsWithConnection } = head;
  const requestId = request.id;
  return [
    { kind: "start_answer", requestId, status, headers, endsWithConnection },
  ];
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
