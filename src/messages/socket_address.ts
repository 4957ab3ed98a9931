/**
 * Addresses of TCP endpoints that other processes tell this one. Such text may be
 * anything, and the client libraries throw an exception at an address that they cannot
 * parse, so it is parsed once, where it is received.
 *
 * @module
 */
import { isIPv4, isIPv6 } from "node:net";
import * as z from "zod";

declare const IS_SOCKET_ADDRESS: unique symbol;

/**
 * An IP address and a port, as `10.0.0.1:80` or `[2001:db8::1]:80`. Created only by
 * {@link tryParseSocketAddress}.
 */
export type SocketAddress = string & { readonly [IS_SOCKET_ADDRESS]: true };

/** Schema of an IP address and a port to which connections can be made. */
export const SOCKET_ADDRESS_SCHEMA = z.string().transform((text, context) => {
  const address = tryParseSocketAddress(text);
  if (address !== undefined) return address;
  context.addIssue("Expected an IP address and a port");
  return z.NEVER;
});

/** The host, in brackets if it is an IPv6 address, and the port. */
const HOST_AND_PORT = /^(?:\[([^\]]*)\]|([^[\]:]*)):(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Parses an IP address and a port; returns undefined if no connection can be made to the
 * text. Host names are not accepted, nor IPv6 zones (`fe80::1%eth0`), which URLs can't
 * contain.
 *
 * @example
 * ```ts
 * tryParseSocketAddress("10.0.0.1:80"); // "10.0.0.1:80"
 * tryParseSocketAddress("10.0.0.1:80800"); // undefined
 * ```
 */
export function tryParseSocketAddress(text: string): SocketAddress | undefined {
  const match = HOST_AND_PORT.exec(text);
  if (match === null) return undefined;
  const [, ipv6, ipv4 = "", port] = match;
  const isHost = ipv6 === undefined
    ? isIPv4(ipv4)
    : isIPv6(ipv6) && !ipv6.includes("%");
  return isHost && isPort(Number(port)) ? text as SocketAddress : undefined;
}

function isPort(port: number): boolean {
  return port > 0 && port <= MAX_PORT;
}
