import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { RestartingEndpoint } from './restartingEndpoint.js';
import { VM_HEADER } from './restartableVm.js';

const RUN_MS = 15;

/** A request as an endpoint saw it. */
export interface Arrival {
  readonly at: number;
  readonly vm: string;
}

/** What an endpoint tells in its answers from now on. */
export interface Wish {
  readonly headers: Readonly<Record<string, string>>;
  /** Status of its answers; 200 unless it refuses requests. */
  readonly status: number;
}

/** An endpoint that tells in its answers what it wants; its entry in the store says nothing of it. */
export class WishfulEndpoint extends RestartingEndpoint {
  readonly arrivals: Arrival[] = [];

  /** Returns the wish for the answers to a VM's requests; null for none. */
  wishFor: ((vm: string) => Wish | null) | null = null;

  protected override getHealthHeaders = () => this.wishFor?.('')?.headers ?? {};

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const vm = String(request.headers[VM_HEADER]);
    const wish = this.wishFor?.(vm) ?? null;
    this.arrivals.push({ at: performance.now(), vm });
    request.resume();
    request.on('error', () => {});
    await sleep(RUN_MS);
    const { status = 200, headers = {} } = wish ?? {};
    response.writeHead(status, {
      'x-request': request.headers['x-request'],
      'x-mac': 'mac',
      ...headers,
    });
    response.end(status === 200 ? 'answer' : '');
  }
}
