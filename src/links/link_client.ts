/**
 * The dialling side: keeps one connection to one address, and dials again with a growing
 * pause after it is lost.
 *
 * @module
 */
import { WebSocket } from "ws";
import type { EventLog } from "../events/event_log.ts";
import { type LinkFault, MAX_FRAME_BYTES } from "../messages/codec.ts";
import {
  createNonce,
  createProof,
  isValidProof,
} from "../messages/handshake.ts";
import {
  type ChallengeMessage,
  type LinkRole,
  type Message,
  PROTOCOL_VERSION,
  type WelcomeMessage,
} from "../messages/types.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import { Link, type LinkListener } from "./link.ts";
import { LINK_PATH, type LinkIdentity } from "./link_server.ts";

const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5000;
const DIAL_TIMEOUT_MS = 3000;

/** Receives the events of a client. */
export interface LinkClientListener {
  /** Called when the dialled process has authenticated itself. */
  onConnected(link: Link, welcome: WelcomeMessage): void;
  onMessage(message: Message): void;
  /** Called when the authenticated connection was lost. */
  onDisconnected(fault?: LinkFault): void;
  /** Called when a dial did not lead to an authenticated connection. */
  onDialFailed(fault?: LinkFault): void;
}

/** Options of a {@link LinkClient}. */
export interface LinkClientOptions {
  readonly address: SocketAddress;
  readonly role: LinkRole;
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly listener: LinkClientListener;
}

/** Keeps one connection to one address. */
export class LinkClient {
  readonly #options: LinkClientOptions;
  #pauseMs = FIRST_PAUSE_MS;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;
  #link: Link | undefined;
  #socket: WebSocket | undefined;

  /** Starts dialling at once. */
  constructor(options: LinkClientOptions) {
    this.#options = options;
    this.#dial();
  }

  /** Closes the connection and stops dialling. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#link?.close();
    if (this.#link === undefined) this.#socket?.terminate();
  }

  #dial(): void {
    const socket = new WebSocket(
      `ws://${this.#options.address}${LINK_PATH}`,
      {
        handshakeTimeout: DIAL_TIMEOUT_MS,
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
      },
    );
    this.#socket = socket;
    const onEarlyEnd = () => this.#onDialFailed();
    socket.once("close", onEarlyEnd);
    socket.on("error", () => socket.terminate());
    socket.once("open", () => {
      socket.off("close", onEarlyEnd);
      this.#startHandshake(socket);
    });
  }

  #startHandshake(socket: WebSocket): void {
    const nonce = createNonce();
    let challenge: ChallengeMessage | undefined;
    const listener: LinkListener = {
      onMessage: (message) => {
        if (challenge === undefined && message.kind === "challenge") {
          challenge = message;
          this.#sendHello(link, challenge, nonce);
        } else if (challenge !== undefined && message.kind === "welcome") {
          this.#finishHandshake(link, message, [challenge.nonce, nonce]);
        } else {
          link.close("UNEXPECTED_MESSAGE");
        }
      },
      onClose: (fault) => this.#onDialFailed(fault),
    };
    const link = new Link(socket, { log: this.#options.log, listener });
    this.#link = link;
  }

  #sendHello(link: Link, challenge: ChallengeMessage, nonce: string): void {
    if (challenge.protocol !== PROTOCOL_VERSION) {
      link.close("WRONG_PROTOCOL");
      return;
    }
    const { identity, role } = this.#options;
    const nonces = [challenge.nonce, nonce] as const;
    link.send({
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      deployment: identity.deployment,
      role,
      name: identity.name,
      incarnation: identity.incarnation,
      failureDomain: identity.failureDomain,
      nonce,
      proof: createProof({ ...identity, side: "dialling", nonces }),
    });
  }

  #finishHandshake(
    link: Link,
    welcome: WelcomeMessage,
    nonces: readonly [string, string],
  ): void {
    const isAuthenticated = isValidProof(welcome.proof, {
      ...this.#options.identity,
      side: "dialled",
      name: welcome.name,
      incarnation: welcome.incarnation,
      nonces,
    });
    if (!isAuthenticated) {
      link.close("WRONG_PROOF");
      return;
    }
    this.#pauseMs = FIRST_PAUSE_MS;
    const { listener } = this.#options;
    link.setListener({
      onMessage: (message) => listener.onMessage(message),
      onClose: (fault) => {
        this.#link = undefined;
        this.#scheduleDial();
        listener.onDisconnected(fault);
      },
    });
    listener.onConnected(link, welcome);
  }

  #onDialFailed(fault?: LinkFault): void {
    this.#link = undefined;
    this.#scheduleDial();
    this.#options.listener.onDialFailed(fault);
  }

  #scheduleDial(): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => this.#dial(), this.#pauseMs);
    this.#pauseMs = Math.min(this.#pauseMs * 2, MAX_PAUSE_MS);
  }
}
