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
type Way = "to_target" | "from_target";

/** A relay between two processes. */
export class TcpRelay {
  readonly #address: string;
  readonly #sockets: Readonly<Record<Way, Set<Socket>>> = {
    to_target: new Set(),
    from_target: new Set(),
  };
  readonly #frozen = new Set<Way>();
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

  /** Closes open connections; new ones work. */
  reset(): void {
    for (const socket of this.#all()) socket.destroy();
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

  /** Delays all data by a number of milliseconds. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Relays everything again. */
  join(): void {
    this.#isCut = false;
    this.#delayMs = 0;
    this.#frozen.clear();
    for (const socket of this.#all()) socket.resume();
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
    this.#pass("to_target", socket, other);
    this.#pass("from_target", other, socket);
  }

  #pass(way: Way, from: Socket, to: Socket): void {
    this.#sockets[way].add(from);
    let passedOn = Promise.resolve();
    from.on("data", (data) => {
      if (this.#delayMs === 0) {
        passedOn = passedOn.then(() => void to.write(data));
        return;
      }
      const due = sleep(this.#delayMs);
      passedOn = passedOn.then(() => due).then(() => void to.write(data));
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets[way].delete(from);
      passedOn = passedOn.then(() => void to.destroySoon());
    });
    if (this.#frozen.has(way)) from.pause();
  }

  #freeze(way: Way): void {
    this.#frozen.add(way);
    for (const socket of this.#sockets[way]) socket.pause();
  }

  #all(): readonly Socket[] {
    return [...this.#sockets.to_target, ...this.#sockets.from_target];
  }
}
