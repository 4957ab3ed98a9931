/**
 * The dialled side: accepts connections, and admits only processes that prove that they
 * belong to the deployment.
 *
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import type { EventLog } from "../events/event_log.ts";
import { type LinkFault, MAX_FRAME_BYTES } from "../messages/codec.ts";
import {
  createNonce,
  createProof,
  isValidProof,
} from "../messages/handshake.ts";
import {
  type HelloMessage,
  type Message,
  PROTOCOL_VERSION,
} from "../messages/types.ts";
import { Link, type LinkListener } from "./link.ts";

/** URL path of connections between processes. */
export const LINK_PATH = "/lagoonwharf/link";

/** Milliseconds in which a connection must be authenticated. */
const HANDSHAKE_TIMEOUT_MS = 5000;

/**
 * Connections that may be without authentication at the same time. After a loss of power
 * all entries may connect to one process at once.
 */
const MAX_UNAUTHENTICATED = 768;
/** Bytes that a connection may send before it is authenticated. */
const MAX_HANDSHAKE_BYTES = 16_384;

/** Options of a listener that serves nothing else; each connection is upgraded at once. */
export const LINK_LISTENER_OPTIONS = {
  limits: { maxConnections: MAX_UNAUTHENTICATED },
} as const;

/** The identity of this process towards its peers. */
export interface LinkIdentity {
  readonly deployment: string;
  readonly secret: string;
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
}

/** What a dialled process adds to its identity in its welcome message. */
export interface WelcomeDetails {
  readonly pool: string;
  readonly concurrency: number;
}

/** Receives the events of a server. */
export interface LinkServerListener {
  /**
   * Called when a peer has authenticated itself. Returns the listener for its messages.
   */
  onPeer(link: Link, hello: HelloMessage): {
    onMessage(message: Message): void;
    onClose(fault?: LinkFault): void;
  };
  /** Called when a connection was closed before it was authenticated. */
  onRejected(fault: LinkFault | undefined): void;
}

/** Options of a {@link LinkServer}. */
export interface LinkServerOptions {
  readonly identity: LinkIdentity;
  readonly welcome: WelcomeDetails;
  readonly log: EventLog;
  readonly listener: LinkServerListener;
}

/** Accepts connections from other processes of the deployment. */
export class LinkServer {
  readonly #server: WebSocketServer;
  readonly #options: LinkServerOptions;
  /** Connections that are not authenticated yet, the oldest first. */
  readonly #handshakes = new Map<Link, Handshake>();

  /** Handles upgrade requests of an HTTP server. */
  constructor(http: Server, options: LinkServerOptions) {
    this.#options = options;
    this.#server = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    http.on("upgrade", (request, socket, head) => {
      this.#upgrade(request, socket, head);
    });
  }

  #upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    if (request.url !== LINK_PATH) {
      socket.destroy();
      return;
    }
    this.#server.handleUpgrade(request, socket, head, (webSocket) => {
      this.#startHandshake(webSocket, socket);
    });
  }

  #startHandshake(webSocket: import("ws").WebSocket, socket: Duplex): void {
    const nonce = createNonce();
    const { log } = this.#options;
    const listener: LinkListener = {
      onMessage: (message) => this.#finishHandshake(link, nonce, message),
      onClose: (fault) => {
        this.#endHandshake(link);
        this.#options.listener.onRejected(fault);
      },
    };
    const link = new Link(webSocket, { log, listener });
    this.#handshakes.set(link, new Handshake(link, socket));
    link.send({ kind: "challenge", protocol: PROTOCOL_VERSION, nonce });
    if (this.#handshakes.size <= MAX_UNAUTHENTICATED) return;
    const [oldest] = this.#handshakes.keys();
    oldest?.terminate("HANDSHAKE_TIMEOUT");
  }

  #endHandshake(link: Link): void {
    this.#handshakes.get(link)?.end();
    this.#handshakes.delete(link);
  }

  #finishHandshake(link: Link, nonce: string, message: Message): void {
    const fault = this.#findFault(nonce, message);
    if (fault !== undefined || message.kind !== "hello") {
      link.close(fault ?? "UNEXPECTED_MESSAGE");
      return;
    }
    this.#endHandshake(link);
    const { identity, welcome, listener } = this.#options;
    link.send({
      kind: "welcome",
      name: identity.name,
      incarnation: identity.incarnation,
      failureDomain: identity.failureDomain,
      ...welcome,
      proof: createProof({
        ...identity,
        side: "dialled",
        nonces: [nonce, message.nonce],
      }),
    });
    link.setListener(listener.onPeer(link, message));
  }

  #findFault(nonce: string, message: Message): LinkFault | undefined {
    const { identity } = this.#options;
    if (message.kind !== "hello") return "UNEXPECTED_MESSAGE";
    if (message.protocol !== PROTOCOL_VERSION) return "WRONG_PROTOCOL";
    if (message.deployment !== identity.deployment) return "WRONG_DEPLOYMENT";
    const isAuthenticated = isValidProof(message.proof, {
      secret: identity.secret,
      side: "dialling",
      deployment: message.deployment,
      name: message.name,
      incarnation: message.incarnation,
      nonces: [nonce, message.nonce],
    });
    return isAuthenticated ? undefined : "WRONG_PROOF";
  }
}

/** Limits what a connection may take until it is authenticated. */
class Handshake {
  readonly #socket: Duplex;
  readonly #onData: (bytes: Uint8Array) => void;
  readonly #timeout: NodeJS.Timeout;
  #receivedBytes = 0;

  constructor(link: Link, socket: Duplex) {
    this.#socket = socket;
    this.#onData = ({ length }) => {
      this.#receivedBytes += length;
      // A frame is held until it is complete, and may be long.
      if (this.#receivedBytes <= MAX_HANDSHAKE_BYTES) return;
      link.terminate("UNEXPECTED_MESSAGE");
    };
    socket.on("data", this.#onData);
    this.#timeout = setTimeout(
      () => link.close("HANDSHAKE_TIMEOUT"),
      HANDSHAKE_TIMEOUT_MS,
    );
  }

  end(): void {
    clearTimeout(this.#timeout);
    this.#socket.off("data", this.#onData);
  }
}
