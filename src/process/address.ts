/**
 * Host and port of a listening process.
 *
 * @module
 */
import type { Server } from "node:net";

/** A host and a port. */
export interface ListenAddress {
  readonly hostname: string;
  readonly port: number;
}

/**
 * Splits `HOST:PORT`; an IPv6 host is in brackets.
 *
 * @example
 * ```ts
 * parseAddress("127.0.0.1:8080").port; // 8080
 * ```
 */
export function parseAddress(address: string): ListenAddress {
  const colon = address.lastIndexOf(":");
  const hostname = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { hostname, port: Number(address.slice(colon + 1)) };
}

/**
 * Makes a server listen on `HOST:PORT`.
 *
 * @throws when the address is not available
 */
export async function listenOn(
  server: Server,
  address: string,
): Promise<void> {
  const { hostname, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, hostname, () => resolve());
  });
}
