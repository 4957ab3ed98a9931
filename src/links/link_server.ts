/**
 * The dialled side: takes connections on a target's port and lets in only
 * processes that prove that they belong to the deployment.
 *
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import { type LinkFault, MAX_FRAME_BYTES } from "../messages/codec.ts";
import { createNonce, createProof, isProofOf } from "../messages/handshake.ts";
import {
  type HelloMessage,
  type Message,
  PROTOCOL_VERSION,
} from "../messages/types.ts";
import { Link } from "./link.ts";

/** Path on which processes talk to each other. */
export const LINK_PATH = "/lagoonwharf/link";

/** Milliseconds in which a connection must prove itself. */
const HANDSHAKE_LIMIT_MS = 5000;

/** Who this process is towards its peers. */
export interface LinkIdentity {
  readonly deployment: string;
  readonly secret: string;
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
}

/** What a dialled process adds to its identity. */
export interface WelcomeDetails {
  readonly pool: string;
  readonly concurrency: number;
}

/** What the owner of the server wants to hear. */
export interface LinkServerListener {
  /** A peer has proved itself. Returns the listener for its messages. */
  onPeer(link: Link, hello: HelloMessage): {
    onMessage(message: Message): void;
    onClose(fault?: LinkFault): void;
  };
  /** A connection was closed before it proved itself. */
  onRejected(fault: LinkFault | undefined): void;
}

/** Options of a {@link LinkServer}. */
export interface LinkServerOptions {
  readonly identity: LinkIdentity;
  readonly welcome: WelcomeDetails;
  readonly listener: LinkServerListener;
}

/** Takes connections of other lagoonwharf processes. */
export class LinkServer {
  readonly #server: WebSocketServer;
  readonly #options: LinkServerOptions;
  /** Timers of connections that have not proved themselves. */
  readonly #limits = new WeakMap<Link, NodeJS.Timeout>();

  /** Listens for upgrades on an HTTP server. */
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
      this.#startHandshake(webSocket);
    });
  }

  #startHandshake(webSocket: import("ws").WebSocket): void {
    const nonce = createNonce();
    const link: Link = new Link(webSocket, {
      onMessage: (message) => this.#finishHandshake(link, nonce, message),
      onClose: (fault) => {
        clearTimeout(limit);
        this.#options.listener.onRejected(fault);
      },
    });
    const limit = setTimeout(
      () => link.close("HANDSHAKE_TIMEOUT"),
      HANDSHAKE_LIMIT_MS,
    );
    link.send({ kind: "challenge", protocol: PROTOCOL_VERSION, nonce });
    this.#limits.set(link, limit);
  }

  #finishHandshake(link: Link, nonce: string, message: Message): void {
    const fault = this.#tryFault(nonce, message);
    if (fault !== undefined || message.kind !== "hello") {
      link.close(fault ?? "UNEXPECTED_MESSAGE");
      return;
    }
    clearTimeout(this.#limits.get(link));
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

  #tryFault(nonce: string, message: Message): LinkFault | undefined {
    const { identity } = this.#options;
    if (message.kind !== "hello") return "UNEXPECTED_MESSAGE";
    if (message.protocol !== PROTOCOL_VERSION) return "WRONG_PROTOCOL";
    if (message.deployment !== identity.deployment) return "WRONG_DEPLOYMENT";
    const isProved = isProofOf(message.proof, {
      secret: identity.secret,
      side: "dialling",
      deployment: message.deployment,
      name: message.name,
      incarnation: message.incarnation,
      nonces: [nonce, message.nonce],
    });
    return isProved ? undefined : "WRONG_PROOF";
  }
}
