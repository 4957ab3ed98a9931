/**
 * Requests and responses that report themselves to the reader of their connection, also
 * those that the HTTP server answers without calling a handler.
 *
 * @module
 */
import { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What the reader of a connection learns of the messages that are parsed. */
export interface MessageObserver {
  /** Called when a head was parsed, before its request is handled. */
  onRequest(request: ObservedRequest): void;
  /** Called when bytes of a body were parsed. */
  onBody(bytes: number): void;
  /** Called with the response to the latest request, before it is handled. */
  onResponse(response: ServerResponse): void;
}

const observers = new WeakMap<Socket, MessageObserver>();

/** Sets the observer of the messages of a connection. */
export function observeMessages(
  socket: Socket,
  observer: MessageObserver,
): void {
  observers.set(socket, observer);
}

/** A request that reports itself and its body. */
export class ObservedRequest extends IncomingMessage {
  /** Whether the HTTP server passes the connection on after this request. */
  declare readonly upgrade: boolean;
  readonly #observer: MessageObserver | undefined;

  constructor(socket: Socket) {
    super(socket);
    this.#observer = observers.get(socket);
    this.#observer?.onRequest(this);
  }

  override push(chunk: Uint8Array | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null) this.#observer?.onBody(chunk.length);
    return super.push(chunk, encoding);
  }
}

/** A response that reports itself. */
export class ObservedResponse<Request extends IncomingMessage>
  extends ServerResponse<Request> {
  constructor(request: Request) {
    // The HTTP server passes options, which the types do not declare.
    super(...arguments as unknown as [Request]);
    observers.get(request.socket)?.onResponse(this);
  }
}
