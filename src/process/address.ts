/**
 * Host and port of a listening process.
 *
 * @module
 */

/** Host and port, apart. */
export interface ListenAddress {
  readonly hostname: string;
  readonly port: number;
}

/**
 * Splits `HOST:PORT`; an IPv6 host stands in brackets.
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
