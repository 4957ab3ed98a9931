/**
 * Addresses in tests. Simulations connect to nothing, so theirs may be any text.
 *
 * @module
 */
import type { SocketAddress } from "../messages/socket_address.ts";

/** Returns a text as an address, without parsing it. */
export function createSocketAddress(text: string): SocketAddress {
  return text as SocketAddress;
}
