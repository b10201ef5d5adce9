import { isIP } from 'node:net';

/** Addresses consist of an IP address and a port; hosts of the system find each other without DNS names. */

/** Host and port, in the form that the socket APIs take. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const maximumPort = 65_535;

/** Parses `ip:port` or `[ip]:port`. Returns undefined for anything else, including host names and port 0. */
export function parseAddress(text: string): SocketAddress | undefined {
  const address = readAddress(text);
  return address === undefined || address.port === 0 ? undefined : address;
}

/**
 * Like `parseAddress`, for an address that was validated on input: throws if it is invalid.
 * Accepts port 0, with which a server listens on any free port.
 */
export function parseAddressOrThrow(text: string): SocketAddress {
  const address = readAddress(text);
  if (address === undefined) {
    throw new TypeError(`invalid address, expected ip:port: ${text}`);
  }
  return address;
}

function readAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, version6, version4, portText] = match;
  const host = version6 ?? version4 ?? '';
  const port = Number(portText);
  const isHostValid = isIP(host) === (version6 === undefined ? 4 : 6);
  return isHostValid && port <= maximumPort ? { host, port } : undefined;
}

/** Formats `ip:port`, with brackets around an IPv6 address. */
export function formatAddress(host: string, port: number): string {
  return isIP(host) === 6 ? `[${host}]:${port}` : `${host}:${port}`;
}
