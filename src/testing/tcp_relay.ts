/**
 * Provides a TCP relay between two processes that a test can cut, freeze or slow down.
 *
 * @module
 */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { parseAddress } from "../process/address.ts";
import { findFreeAddress } from "./free_address.ts";

/** The direction of bytes through a relay. */
type Direction = "to_target" | "from_target";

/** A relay between two processes. */
export class TcpRelay {
  readonly #address: string;
  readonly #sockets: Readonly<Record<Direction, Set<Socket>>> = {
    to_target: new Set(),
    from_target: new Set(),
  };
  readonly #frozen = new Set<Direction>();
  #isCut = false;
  #delayMs = 0;
  readonly #server;

  private constructor(address: string, target: string) {
    this.#address = address;
    this.#server = createServer((socket) => this.#accept(socket, target));
  }

  /** Listens on a free port and relays connections to `target`. */
  static async create(target: string): Promise<TcpRelay> {
    const address = await findFreeAddress();
    const relay = new TcpRelay(address, target);
    const { hostname, port } = parseAddress(address);
    relay.#server.listen(port, hostname);
    await once(relay.#server, "listening");
    return relay;
  }

  /** The address on which the relay listens. */
  get address(): string {
    return this.#address;
  }

  /** Closes open connections and refuses new ones. */
  cut(): void {
    this.#isCut = true;
    this.reset();
  }

  /** Closes open connections; new ones are relayed. */
  reset(): void {
    for (const socket of this.#getSockets()) socket.destroy();
  }

  /** Stops relaying without closing connections. */
  freeze(): void {
    this.#freeze("to_target");
    this.#freeze("from_target");
  }

  /** Stops relaying answers without closing connections; requests are still relayed. */
  freezeAnswers(): void {
    this.#freeze("from_target");
  }

  /**
   * Makes open connections silent for good, without closing them; new ones are relayed.
   */
  silenceOpen(): void {
    for (const socket of this.#getSockets()) {
      socket.removeAllListeners("data");
      socket.pause();
    }
  }

  /** Delays all data by a number of milliseconds. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Relays everything again. */
  restore(): void {
    this.#isCut = false;
    this.#delayMs = 0;
    this.#frozen.clear();
    for (const socket of this.#getSockets()) socket.resume();
  }

  /** Closes the relay. */
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
    this.#relay("to_target", socket, other);
    this.#relay("from_target", other, socket);
  }

  #relay(direction: Direction, from: Socket, to: Socket): void {
    this.#sockets[direction].add(from);
    let pendingWrites = Promise.resolve();
    from.on("data", (data) => {
      if (this.#delayMs === 0) {
        pendingWrites = pendingWrites.then(() => void to.write(data));
        return;
      }
      const due = sleep(this.#delayMs);
      pendingWrites = pendingWrites.then(() => due).then(() =>
        void to.write(data)
      );
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets[direction].delete(from);
      pendingWrites = pendingWrites.then(() => void to.destroySoon());
    });
    if (this.#frozen.has(direction)) from.pause();
  }

  #freeze(direction: Direction): void {
    this.#frozen.add(direction);
    for (const socket of this.#sockets[direction]) socket.pause();
  }

  #getSockets(): readonly Socket[] {
    return [...this.#sockets.to_target, ...this.#sockets.from_target];
  }
}
