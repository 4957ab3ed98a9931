/**
 * A relay between two processes that a test can cut or freeze.
 *
 * @module
 */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { parseAddress } from "../process/address.ts";
import { findFreeAddress } from "./free_address.ts";

/** A relay between two processes. */
export class TcpRelay {
  readonly #address: string;
  readonly #sockets = new Set<Socket>();
  #isCut = false;
  #isFrozen = false;
  readonly #server;

  private constructor(address: string, target: string) {
    this.#address = address;
    this.#server = createServer((socket) => this.#accept(socket, target));
  }

  /** Listens on a free port and passes on to `target`. */
  static async create(target: string): Promise<TcpRelay> {
    const address = await findFreeAddress();
    const relay = new TcpRelay(address, target);
    const { hostname, port } = parseAddress(address);
    relay.#server.listen(port, hostname);
    await once(relay.#server, "listening");
    return relay;
  }

  /** Where to connect to. */
  get address(): string {
    return this.#address;
  }

  /** Breaks what is open and refuses what comes. */
  cut(): void {
    this.#isCut = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Nothing gets through, and nobody is told. */
  freeze(): void {
    this.#isFrozen = true;
    for (const socket of this.#sockets) socket.pause();
  }

  /** Lets everything through again. */
  join(): void {
    this.#isCut = false;
    this.#isFrozen = false;
    for (const socket of this.#sockets) socket.resume();
  }

  /** Closes. */
  close(): void {
    this.cut();
    this.#server.close();
  }

  #accept(socket: Socket, target: string): void {
    if (this.#isCut) {
      socket.destroy();
      return;
    }
    const { hostname, port } = parseAddress(target);
    const other = connect(port, hostname);
    this.#pass(socket, other);
    this.#pass(other, socket);
  }

  #pass(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (data) => to.write(data));
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    if (this.#isFrozen) from.pause();
  }
}
