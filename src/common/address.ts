import { isIP } from 'node:net';

/** Addresses: IP number and port, because hosts of the system find each other without names. */

/** An address taken apart, as sockets want it. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const highestPort = 65_535;

/** Takes `ip:port` or `[ip]:port` apart; undefined for anything else, host names included. */
export function parseAddress(text: string): SocketAddress | undefined {
  const address = readAddress(text);
  return address === undefined || address.port === 0 ? undefined : address;
}

/** The same for an address that was checked where it came in; a server that is to take any free port listens at port 0. */
export function splitAddress(text: string): SocketAddress {
  const address = readAddress(text);
  if (address === undefined) {
    throw new TypeError(`not an address: ${text}`);
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
  return isHostValid && port <= highestPort ? { host, port } : undefined;
}

/** `ip:port`, with brackets around an IP number of version 6. */
export function formatAddress(host: string, port: number): string {
  return isIP(host) === 6 ? `[${host}]:${port}` : `${host}:${port}`;
}
