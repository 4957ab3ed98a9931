/**
 * Finds free addresses for processes that tests start.
 *
 * A port that the system chooses is free only at that time: an outgoing connection of
 * another test may take it before the started process listens. So each test process keeps
 * listening on the first port of a block below the system's range while it runs, which
 * reserves the rest of the block.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import process from "node:process";
import type { SocketAddress } from "../messages/socket_address.ts";
import { createSocketAddress } from "./socket_addresses.ts";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
const BLOCKS = 200;
const BLOCK_PORTS = 100;

/** The ports of the block that this process has reserved. */
class PortBlock {
  readonly #first: number;
  #next = 1;

  constructor(first: number) {
    this.#first = first;
  }

  tryTakePort(): number | undefined {
    if (this.#next >= BLOCK_PORTS) return undefined;
    return this.#first + this.#next++;
  }
}

let currentBlock: Promise<PortBlock> | undefined;

/** Returns an address that no other caller receives. */
export async function findFreeAddress(): Promise<SocketAddress> {
  while (true) {
    currentBlock ??= reserveBlock();
    const block = await currentBlock;
    const port = block.tryTakePort();
    if (port === undefined) {
      currentBlock = undefined;
      continue;
    }
    const server = await tryListen(port);
    if (server === undefined) continue;
    server.close();
    await once(server, "close");
    return createSocketAddress(`${HOST}:${port}`);
  }
}

async function reserveBlock(): Promise<PortBlock> {
  for (let number = 0; number < BLOCKS; number++) {
    const block = (process.pid + number) % BLOCKS;
    const first = FIRST_PORT + block * BLOCK_PORTS;
    const server = await tryListen(first);
    if (server === undefined) continue;
    server.unref();
    return new PortBlock(first);
  }
  throw new Error("No block of ports is free");
}

async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  try {
    server.listen(port, HOST);
    await once(server, "listening");
    return server;
  } catch {
    return undefined;
  }
}
