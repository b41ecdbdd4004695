/** Host and port of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits a checked IP:PORT. */
export function splitAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
