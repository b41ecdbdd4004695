import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import type { RegisteredEndpoint } from '@filbertlatch/core';

/** Which requests an endpoint does not run, and how it answers them. */
export interface Repetition {
  /** Every so many-th request on a connection is not run. */
  readonly period: number;
  /** Leaves out the request id in the answer to one. */
  readonly lacksId: boolean;
  /** Status and headers of the answer to one; `ID` stands for the request id. */
  readonly head: string;
  /** Writes that answer once more, before the answer to the next request. */
  readonly isRepeated: boolean;
}

function findHeader(request: string, name: string): string {
  return new RegExp(`^${name}: *([^\\r]*)`, 'im').exec(request)?.[1] ?? '';
}

const formatAnswer = (head: string, body = '') =>
  `HTTP/1.1 ${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** An endpoint that may write an earlier answer once more on a connection that is kept. */
export class RepeatingEndpoint {
  /** Runs by request id. */
  readonly runs = new Map<string, number>();

  /** Requests that were answered without a run, copies not counted. */
  refusals = 0;

  readonly #id: string;

  readonly #repetition: Repetition;

  readonly #server: Server = createServer((socket) => this.#serve(socket));

  readonly #sockets = new Set<Socket>();

  constructor(id: string, repetition: Repetition) {
    this.#id = id;
    this.#repetition = repetition;
  }

  /** Starts to listen; returns the endpoint as it is registered. */
  async start(): Promise<RegisteredEndpoint> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return {
      id: this.#id,
      serviceId: 'desk',
      address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`,
      zone: 'zone-a',
      slots: 6,
      state: 'ready',
      startedAt: null,
      version: null,
    };
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => {});
    let requests = 0;
    let copy = '';
    socket.on('data', (bytes) => {
      const request = bytes.toString('latin1');
      if (request.startsWith('GET /health')) {
        socket.write(formatAnswer(`200 OK\r\nx-instance: ${this.#id}`));
        return;
      }
      requests += 1;
      const id = findHeader(request, 'x-request');
      if (requests % this.#repetition.period === 0) {
        const answer = this.#refuse(id);
        socket.write(answer);
        copy = this.#repetition.isRepeated ? answer : '';
        return;
      }
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
      socket.write(copy);
      copy = '';
      socket.write(formatAnswer(`200 OK\r\nx-request: ${id}\r\nx-mac: mac-1`, id));
    });
  }

  #refuse(id: string): string {
    const { lacksId } = this.#repetition;
    const head = this.#repetition.head.replace('ID', id);
    this.refusals += 1;
    return formatAnswer(lacksId ? head : `${head}\r\nx-request: ${id}`);
  }
}
