import { connect, createServer, Socket, type Server } from 'node:net';

import { findFreeAddress } from '../../src/testing/index.js';
import { listenAgain } from './keptPort.js';

/**
 * How a cut shows: connections are reset and new ones refused; all hang and new ones are not opened,
 * or are opened and hang; connections live on and new ones are refused.
 */
export type CutKind = 'reset' | 'hang' | 'silent' | 'refuse';

type Connect = typeof Socket.prototype.connect;

const connectSocket = Socket.prototype.connect;

/** Ports to which no connection is opened. */
const unansweredPorts = new Set<number>();

function readPort(parameters: readonly unknown[]): number {
  const [first] = parameters;
  const options: unknown = Array.isArray(first) ? (first as readonly unknown[])[0] : first;
  return Number((options as { port?: unknown } | null)?.port);
}

Socket.prototype.connect = function connectUnlessUnanswered(
  this: Socket,
  ...parameters: unknown[]
) {
  if (unansweredPorts.has(readPort(parameters))) return this;
  return connectSocket.apply(this, parameters as Parameters<Connect>);
};

/** The link of one VM to one endpoint, which a test cuts. */
export class VmLink {
  readonly address: string;

  readonly #target: string;

  readonly #pairs = new Set<readonly [Socket, Socket]>();

  #server: Server | null = null;

  #cut: CutKind | null = null;

  private constructor(address: string, target: string) {
    this.address = address;
    this.#target = target;
  }

  /** Creates a link to an endpoint's address. */
  static async create(target: string): Promise<VmLink> {
    const link = new VmLink(await findFreeAddress(), target);
    await link.#listen();
    return link;
  }

  /** The VM's open connections. */
  get sockets(): Socket[] {
    return [...this.#pairs].map(([near]) => near);
  }

  /** Cuts the link. */
  cut(kind: CutKind): void {
    this.#cut = kind;
    if (kind === 'hang') unansweredPorts.add(this.#port);
    if (kind === 'reset' || kind === 'refuse') this.#stopListening();
    this.#pairs.forEach((pair) => {
      if (kind === 'reset') pair.forEach((socket) => socket.resetAndDestroy());
      else if (kind !== 'refuse') pair.forEach((socket) => socket.pause());
    });
  }

  /** Ends the cut; what hung goes on. */
  async heal(): Promise<void> {
    this.#cut = null;
    unansweredPorts.delete(this.#port);
    this.#pairs.forEach((pair) => pair.forEach((socket) => socket.resume()));
    if (this.#server === null) await this.#listen();
  }

  /** Closes everything. */
  close(): void {
    unansweredPorts.delete(this.#port);
    this.#stopListening();
    this.#pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
  }

  get #port(): number {
    return Number(this.address.split(':')[1]);
  }

  #stopListening(): void {
    this.#server?.close();
    this.#server = null;
  }

  async #listen(): Promise<void> {
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) =>
      this.#join(socket),
    );
    this.#server = server;
    await listenAgain(server, this.address);
  }

  #join(near: Socket): void {
    const [host, port] = this.#target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    const pair = [near, far] as const;
    this.#pairs.add(pair);
    const join = (from: Socket, to: Socket) => {
      from.on('data', (bytes) => {
        if (!to.write(bytes)) from.pause();
      });
      to.on('drain', () => {
        if (this.#cut === null || this.#cut === 'refuse') from.resume();
      });
      from.on('end', () => to.end());
      from.on('error', () => to.resetAndDestroy());
      from.on('close', () => {
        this.#pairs.delete(pair);
        to.destroySoon();
      });
    };
    join(near, far);
    join(far, near);
    if (this.#cut === 'hang' || this.#cut === 'silent') pair.forEach((socket) => socket.pause());
  }
}
