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
export interface AnswerTerms {
  readonly headers: Readonly<Record<string, string>>;
  /** Status of its answers; 200 unless it refuses requests. */
  readonly status: number;
}

/** An endpoint that tells in its answers what it wants; its entry in the store says nothing of it. */
export class TermsEndpoint extends RestartingEndpoint {
  readonly arrivals: Arrival[] = [];

  /** Returns the terms in the answers to a VM's requests; null for none. */
  termsFor: ((vm: string) => AnswerTerms | null) | null = null;

  protected override getHealthHeaders = () => this.termsFor?.('')?.headers ?? {};

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const vm = String(request.headers[VM_HEADER]);
    const terms = this.termsFor?.(vm) ?? null;
    this.arrivals.push({ at: performance.now(), vm });
    request.resume();
    request.on('error', () => {});
    await sleep(RUN_MS);
    const { status = 200, headers = {} } = terms ?? {};
    response.writeHead(status, {
      'x-request': request.headers['x-request'],
      'x-mac': 'mac',
      ...headers,
    });
    response.end(status === 200 ? 'answer' : '');
  }
}
