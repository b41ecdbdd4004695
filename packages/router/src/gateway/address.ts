/** Host and port of a TCP or UDP address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an `IP:PORT` string that the settings schema has validated. */
export function splitAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
