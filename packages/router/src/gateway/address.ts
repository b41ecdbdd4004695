import { isIPv4 } from 'node:net';

/** Host and port of a TCP or UDP address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Octets that begin addresses of no single host: "this network", multicast and reserved ones. */
const UNSPECIFIED_OCTET = 0;
const FIRST_MULTICAST_OCTET = 224;

/** Splits an `IP:PORT` string that `isSocketAddress` accepts. */
export function splitAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** Says whether a text is an `IP:PORT` that a socket can have. */
export function isSocketAddress(text: string): boolean {
  const [, host, port] = /^([\d.]{7,15}):([1-9]\d{0,4})$/.exec(text) ?? [];
  return host !== undefined && isIPv4(host) && Number(port) <= MAX_PORT;
}

/** Says whether a text is an `IP:PORT` to which connections can be opened. */
export function isPeerAddress(text: string): boolean {
  const firstOctet = Number.parseInt(text, 10);
  const isHost = firstOctet !== UNSPECIFIED_OCTET && firstOctet < FIRST_MULTICAST_OCTET;
  return isSocketAddress(text) && isHost;
}
