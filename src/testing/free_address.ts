/**
 * Free addresses for processes that tests start.
 *
 * The system's own choice of a free port is free only at that moment: before the
 * started process listens, an outgoing connection of another test may have it.
 * So each test process holds one port of a block below the system's range while
 * it lives, which makes the rest of the block its own.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import process from "node:process";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
const BLOCKS = 200;
const BLOCK_PORTS = 100;

/** Ports of the block that this process holds. */
class PortBlock {
  readonly #first: number;
  #next = 1;

  constructor(first: number) {
    this.#first = first;
  }

  tryNextPort(): number | undefined {
    if (this.#next >= BLOCK_PORTS) return undefined;
    return this.#first + this.#next++;
  }
}

let currentBlock: Promise<PortBlock> | undefined;

/** An address that nobody else is given. */
export async function findFreeAddress(): Promise<string> {
  while (true) {
    currentBlock ??= holdBlock();
    const block = await currentBlock;
    const port = block.tryNextPort();
    if (port === undefined) {
      currentBlock = undefined;
      continue;
    }
    const server = await tryListen(port);
    if (server === undefined) continue;
    server.close();
    await once(server, "close");
    return `${HOST}:${port}`;
  }
}

async function holdBlock(): Promise<PortBlock> {
  for (let number = 0; number < BLOCKS; number++) {
    const block = (process.pid + number) % BLOCKS;
    const first = FIRST_PORT + block * BLOCK_PORTS;
    const holder = await tryListen(first);
    if (holder === undefined) continue;
    holder.unref();
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
