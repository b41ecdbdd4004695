import { createSocket, type RemoteInfo, type Socket as DatagramSocket } from 'node:dgram';
import { connect, createServer, type Server, type Socket } from 'node:net';

import { Flow } from './flow.js';
import { createShape, type Harm, type LinkPattern, type Shape, type Side } from './harm.js';
import { toProxied } from './hosts.js';

/** Interval at which an address that refuses connections is tried again. */
const RETRY_MS = 50;

/** A connection, or a datagram, from a host to an address. */
interface Path {
  readonly from: string;
  readonly to: string;
}

interface Connection extends Path {
  readonly sockets: readonly Socket[];
}

interface ActiveHarm {
  readonly harm: Harm;
  readonly links: readonly LinkPattern[];
}

function splitAddress(address: string): { host: string; port: number } {
  const [host = '', port] = address.split(':');
  return { host, port: Number(port) };
}

function matches({ from, to }: LinkPattern, path: Path): boolean {
  return (from === null || from === path.from) && (to === null || to === path.to);
}

/** Stands for addresses at other ports, and harms the links that lead there by it. */
export class LinkProxy {
  readonly #connections = new Set<Connection>();

  readonly #harms = new Set<ActiveHarm>();

  readonly #servers = new Map<string, Server | null>();

  readonly #datagramSockets: DatagramSocket[] = [];

  /** Hosts of VMs by the address that their datagrams come from. */
  readonly #datagramHosts = new Map<string, string>();

  readonly #timers = new Set<NodeJS.Timeout>();

  /** Stands for an address; one with a host that sends datagrams from it takes datagrams too. */
  async open(address: string, host: string | null = null): Promise<void> {
    if (host !== null) {
      this.#datagramHosts.set(address, host);
      await this.#relayDatagrams(address);
    }
    await this.#listen(address);
  }

  /** Refuses connections to an address from now on; those that are open go on. */
  close(address: string): void {
    this.#servers.get(address)?.close();
    this.#servers.delete(address);
  }

  /** Harms links for a time; a reset has no duration. */
  harm(links: readonly LinkPattern[], harm: Harm, forMs: number): void {
    if (harm.way === 'reset') {
      [...this.#connections]
        .filter((connection) => links.some((link) => matches(link, connection)))
        .forEach(({ sockets }) => sockets.forEach((socket) => socket.resetAndDestroy()));
      return;
    }
    const active = { harm, links };
    this.#harms.add(active);
    this.#later(() => this.#harms.delete(active), forMs);
  }

  /** Closes all sockets. */
  stop(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#servers.forEach((server) => server?.close());
    this.#datagramSockets.forEach((socket) => socket.close());
    this.#connections.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  }

  #later(act: () => void, ms: number): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      act();
    }, ms);
    this.#timers.add(timer);
  }

  #getShape(path: Path, side: Side): Shape {
    const harms = [...this.#harms]
      .filter(({ links }) => links.some((link) => link.sides.includes(side) && matches(link, path)))
      .map(({ harm }) => harm);
    return createShape(harms);
  }

  #listen(address: string): Promise<void> {
    if (this.#servers.get(address) != null) return Promise.resolve();
    const server = createServer({ allowHalfOpen: true }, (client) => {
      this.#connect(client, address);
    });
    this.#servers.set(address, server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      const { host, port } = splitAddress(toProxied(address));
      server.listen(port, host, resolve);
    });
  }

  #connect(client: Socket, address: string): void {
    const upstream = connect({ ...splitAddress(address), allowHalfOpen: true });
    const path = { from: client.remoteAddress ?? '', to: address };
    const connection = { ...path, sockets: [client, upstream] };
    this.#connections.add(connection);
    connection.sockets.forEach((socket) => {
      socket.on('close', () => this.#connections.delete(connection));
    });
    upstream.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (code === 'ECONNREFUSED') this.#retreat(address);
    });
    /* eslint-disable no-new -- the two sockets hold them */
    new Flow(client, upstream, () => this.#getShape(path, 'forward'));
    new Flow(upstream, client, () => this.#getShape(path, 'backward'));
    /* eslint-enable no-new */
  }

  /** Refuses connections to an address as long as that does so. */
  #retreat(address: string): void {
    const server = this.#servers.get(address);
    if (server == null) return;
    server.close();
    this.#servers.set(address, null);
    this.#retry(address);
  }

  #retry(address: string): void {
    this.#later(() => {
      if (this.#servers.get(address) !== null) return;
      const socket = connect(splitAddress(address));
      socket.on('error', () => this.#retry(address));
      socket.on('connect', () => {
        socket.destroy();
        void this.#listen(address);
      });
    }, RETRY_MS);
  }

  async #relayDatagrams(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    const socket = createSocket('udp4');
    this.#datagramSockets.push(socket);
    socket.on('message', (bytes, sender: RemoteInfo) => {
      const from = this.#datagramHosts.get(`${sender.address}:${sender.port}`) ?? '';
      const { isCut, delayMs } = this.#getShape({ from, to: address }, 'forward');
      if (isCut) return;
      const send = () => socket.send(bytes, port, host, () => {});
      if (delayMs > 0) this.#later(send, delayMs);
      else send();
    });
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      const proxied = splitAddress(toProxied(address));
      socket.bind(proxied.port, proxied.host, resolve);
    });
  }
}
