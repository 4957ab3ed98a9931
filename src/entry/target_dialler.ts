/**
 * Keeps a connection to each target that the list of VMs or the process settings name.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { Link } from "../links/link.ts";
import { LinkClient } from "../links/link_client.ts";
import type { LinkIdentity } from "../links/link_server.ts";
import type { LinkFault } from "../messages/codec.ts";
import type { Message, WelcomeMessage } from "../messages/types.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import { chooseSubset, type SubsetOptions } from "../policy/target_subset.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Receives the events of a {@link TargetDialler}. */
export interface TargetDiallerListener {
  onTarget(link: Link, welcome: WelcomeMessage): void;
  onTargetMessage(targetName: string, message: Message): void;
  onTargetLost(targetName: string, link: Link): void;
  onLinkFault(fault: LinkFault): void;
}

/** Options of a {@link TargetDialler}. */
export interface TargetDiallerOptions {
  readonly identity: LinkIdentity;
  /** Addresses that are dialled regardless of the list of VMs. */
  readonly fixedAddresses: readonly SocketAddress[];
  readonly subset: SubsetOptions;
  readonly listener: TargetDiallerListener;
  readonly log: EventLog;
}

/** Keeps a connection to each target. */
export class TargetDialler {
  readonly #options: TargetDiallerOptions;
  readonly #clients = new Map<SocketAddress, LinkClient>();
  /** Addresses with an established connection. */
  readonly #connected = new Set<SocketAddress>();
  readonly #links = new Map<string, Link>();

  /** Creates a dialler, which dials the fixed addresses immediately. */
  constructor(options: TargetDiallerOptions) {
    this.#options = options;
    for (const address of options.fixedAddresses) this.#dial(address);
  }

  /** Returns the connection to a target; undefined if there is none. */
  tryLink(targetName: string): Link | undefined {
    return this.#links.get(targetName);
  }

  /**
   * Dials a subset of the targets of the list. Stops dialling targets that are no longer
   * in it, but keeps connections that are established: the list lags behind and may be
   * wrong.
   */
  setVirtualMachines(virtualMachines: readonly VirtualMachine[]): void {
    const wanted = new Set(this.#options.fixedAddresses);
    const present = virtualMachines.filter((virtualMachine) =>
      virtualMachine.role === "target" && virtualMachine.state !== "gone"
    );
    for (const { address } of chooseSubset(present, this.#options.subset)) {
      wanted.add(address);
    }
    for (const address of wanted) this.#dial(address);
    for (const [address, client] of this.#clients) {
      if (!wanted.has(address) && !this.#isConnected(address)) {
        client.stop();
        this.#clients.delete(address);
      }
    }
  }

  /** Closes all connections. */
  stop(): void {
    for (const client of this.#clients.values()) client.stop();
    this.#clients.clear();
  }

  #isConnected(address: SocketAddress): boolean {
    return this.#connected.has(address);
  }

  #dial(address: SocketAddress): void {
    if (this.#clients.has(address)) return;
    const { identity, listener, log } = this.#options;
    let link: Link | undefined;
    let name = "";
    const client = new LinkClient({
      address,
      log,
      role: "entry",
      identity,
      listener: {
        onConnected: (newLink, welcome) => {
          link = newLink;
          name = welcome.name;
          this.#connected.add(address);
          const oldLink = this.#links.get(name);
          if (oldLink !== undefined) listener.onTargetLost(name, oldLink);
          this.#links.set(name, newLink);
          log.write("TARGET_CONNECTED", { target: name, address });
          listener.onTarget(newLink, welcome);
        },
        onMessage: (message) => listener.onTargetMessage(name, message),
        onDisconnected: (fault) => {
          this.#connected.delete(address);
          this.#onDisconnected(name, link as Link, fault);
        },
        onDialFailed: (fault) => {
          if (fault !== undefined) listener.onLinkFault(fault);
        },
      },
    });
    this.#clients.set(address, client);
  }

  #onDisconnected(
    name: string,
    link: Link,
    fault: LinkFault | undefined,
  ): void {
    const { listener, log } = this.#options;
    if (fault !== undefined) listener.onLinkFault(fault);
    log.write("TARGET_DISCONNECTED", { target: name, fault });
    // Another connection to the target may have replaced this one already.
    if (this.#links.get(name) !== link) return;
    this.#links.delete(name);
    listener.onTargetLost(name, link);
  }
}
