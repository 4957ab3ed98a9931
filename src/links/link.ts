/**
 * One connection between two processes of a deployment, during or after its handshake.
 * Batches the messages sent in one turn of the event loop, and checks what it receives.
 *
 * @module
 */
import type { RawData, WebSocket } from "ws";
import {
  decodeFrame,
  encodeFrame,
  LINK_FAULT_CODES,
  type LinkFault,
} from "../messages/codec.ts";
import type { Message } from "../messages/types.ts";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";

/** Milliseconds between two heartbeats. */
const HEARTBEAT_MS = 2000;
/** Missed heartbeats after which the other side is considered gone. */
const MAX_MISSED_HEARTBEATS = 3;

/** Receives the events of a link. */
export interface LinkListener {
  /** Called for each message, in order. */
  onMessage(message: Message): void;
  /** Called once. `fault` is set when this side closed the link for a reason. */
  onClose(fault?: LinkFault): void;
}

/** Options of a {@link Link}. */
export interface LinkOptions {
  /** Gets the exceptions of the listener, which end neither the link nor the process. */
  readonly log: EventLog;
  readonly listener: LinkListener;
}

/** One connection between two processes of a deployment. */
export class Link {
  readonly #socket: WebSocket;
  readonly #log: EventLog;
  #listener: LinkListener;
  #outbox: Message[] = [];
  #isFlushScheduled = false;
  #missedHeartbeats = 0;
  #hasReceived = true;
  #fault: LinkFault | undefined;
  readonly #heartbeat: NodeJS.Timeout;

  /** Takes over an open socket. */
  constructor(socket: WebSocket, { log, listener }: LinkOptions) {
    this.#socket = socket;
    this.#log = log;
    this.#listener = listener;
    this.#heartbeat = setInterval(() => this.#checkHeartbeat(), HEARTBEAT_MS);
    socket.on("message", (data, isBinary) => this.#receive(data, isBinary));
    socket.on("pong", () => {
      this.#missedHeartbeats = 0;
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#onClosed());
  }

  /** Replaces the listener, once the handshake is done. */
  setListener(listener: LinkListener): void {
    this.#listener = listener;
  }

  /** Bytes passed to the socket that it has not sent yet. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  /** Sends a message together with all others of this turn of the event loop. */
  send(message: Message): void {
    this.#outbox.push(message);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  /** Sends the queued messages now. */
  flush(): void {
    this.#isFlushScheduled = false;
    if (this.#outbox.length === 0) return;
    const messages = this.#outbox;
    this.#outbox = [];
    if (this.#socket.readyState !== this.#socket.OPEN) return;
    this.#socket.send(encodeFrame(messages));
  }

  /** Closes the link, for a numbered reason or without one. */
  close(fault?: LinkFault): void {
    this.flush();
    this.#fault ??= fault;
    if (fault === undefined) this.#socket.close();
    else this.#socket.close(LINK_FAULT_CODES[fault], fault);
  }

  /** Closes the connection at once, without a closing handshake. */
  terminate(fault: LinkFault): void {
    this.#fault ??= fault;
    this.#socket.terminate();
  }

  #receive(data: RawData, isBinary: boolean): void {
    this.#missedHeartbeats = 0;
    this.#hasReceived = true;
    if (this.#fault !== undefined) return;
    if (!isBinary) return this.close("UNREADABLE_FRAME");
    const frame = decodeFrame(data as Uint8Array);
    if (frame.isErr()) return this.close(frame.error);
    for (const message of frame.value) this.#deliver(message);
  }

  #deliver(message: Message): void {
    if (this.#fault !== undefined) return;
    tryHandle(this.#log, message.kind, () => this.#listener.onMessage(message));
  }

  #checkHeartbeat(): void {
    if (this.#missedHeartbeats >= MAX_MISSED_HEARTBEATS) {
      return this.terminate("PEER_SILENT");
    }
    const isSilent = !this.#hasReceived;
    this.#hasReceived = false;
    // Any received data shows that the other side is alive.
    if (!isSilent) return;
    this.#missedHeartbeats++;
    if (this.#socket.readyState === this.#socket.OPEN) this.#socket.ping();
  }

  #onClosed(): void {
    clearInterval(this.#heartbeat);
    const fault = this.#fault;
    tryHandle(this.#log, "a closed link", () => this.#listener.onClose(fault));
  }
}
