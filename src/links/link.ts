/**
 * One connection between two of our processes, after its handshake or during
 * it: batches what is sent in one turn and checks what arrives.
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

/** Milliseconds between two heartbeats. */
const HEARTBEAT_MS = 2000;
/** Missed heartbeats after which the other side counts as gone. */
const MAX_MISSED_HEARTBEATS = 3;

/** What the owner of a link wants to hear of it. */
export interface LinkListener {
  /** Called for each message, in order. */
  onMessage(message: Message): void;
  /** Called once; `fault` is there when this side closed for a reason. */
  onClose(fault?: LinkFault): void;
}

/** One connection between two of our processes. */
export class Link {
  readonly #socket: WebSocket;
  #listener: LinkListener;
  #outbox: Message[] = [];
  #flushIsPlanned = false;
  #missedHeartbeats = 0;
  #hasHeard = true;
  #fault: LinkFault | undefined;
  readonly #heartbeat: NodeJS.Timeout;

  /** Takes over an open socket. */
  constructor(socket: WebSocket, listener: LinkListener) {
    this.#socket = socket;
    this.#listener = listener;
    this.#heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS);
    socket.on("message", (data, isBinary) => this.#receive(data, isBinary));
    socket.on("pong", () => {
      this.#missedHeartbeats = 0;
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#closed());
  }

  /** Hands the link to another listener, once the handshake is done. */
  setListener(listener: LinkListener): void {
    this.#listener = listener;
  }

  /** Bytes handed to the socket that it has not yet sent. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  /** Sends a message with all others of this turn of the event loop. */
  send(message: Message): void {
    this.#outbox.push(message);
    if (this.#flushIsPlanned) return;
    this.#flushIsPlanned = true;
    setImmediate(() => this.flush());
  }

  /** Sends what waits now. */
  flush(): void {
    this.#flushIsPlanned = false;
    if (this.#outbox.length === 0) return;
    const messages = this.#outbox;
    this.#outbox = [];
    if (this.#socket.readyState !== this.#socket.OPEN) return;
    this.#socket.send(encodeFrame(messages));
  }

  /** Closes for a numbered reason, or without one. */
  close(fault?: LinkFault): void {
    this.flush();
    this.#fault ??= fault;
    if (fault === undefined) this.#socket.close();
    else this.#socket.close(LINK_FAULT_CODES[fault], fault);
  }

  /** Ends the connection at once, without a closing handshake. */
  terminate(fault: LinkFault): void {
    this.#fault ??= fault;
    this.#socket.terminate();
  }

  #receive(data: RawData, isBinary: boolean): void {
    this.#missedHeartbeats = 0;
    this.#hasHeard = true;
    if (this.#fault !== undefined) return;
    if (!isBinary) return this.close("UNREADABLE_FRAME");
    const frame = decodeFrame(data as Uint8Array);
    if (frame.isErr()) return this.close(frame.error);
    for (const message of frame.value) this.#deliver(message);
  }

  #deliver(message: Message): void {
    if (this.#fault === undefined) this.#listener.onMessage(message);
  }

  #beat(): void {
    if (this.#missedHeartbeats >= MAX_MISSED_HEARTBEATS) {
      return this.terminate("PEER_SILENT");
    }
    const isSilent = !this.#hasHeard;
    this.#hasHeard = false;
    // Whatever arrives shows that the other side lives.
    if (!isSilent) return;
    this.#missedHeartbeats++;
    if (this.#socket.readyState === this.#socket.OPEN) this.#socket.ping();
  }

  #closed(): void {
    clearInterval(this.#heartbeat);
    this.#listener.onClose(this.#fault);
  }
}
