import { createServer } from 'node:http';

import { listenOnLastingPort } from './project.js';

const HEARTBEAT_MS = 1200;

/** Time after which a runner closes an idle channel; its answers state it in `Keep-Alive`. */
const IDLE_TIMEOUT_MS = 5000;

function readBody(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
  });
}

/**
 * Stand-in of one runner. `answer` is called with each request that it runs, once it has read it, or at
 * its head if `isEarly` says so.
 */
export class Runner {
  /** What it has run, in order. */
  runs = [];

  address = null;

  service;

  #server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS }, (request, response) => {
    void this.#handle(request, response);
  });

  #store;

  #slots;

  #answer;

  #isEarly;

  #born = Date.now();

  #seq = 0;

  #timer = null;

  #isLeaving = false;

  constructor(store, id, { service, slots, answer, isEarly = () => false }) {
    this.id = id;
    this.#store = store;
    this.service = service;
    this.#slots = slots;
    this.#answer = answer;
    this.#isEarly = isEarly;
  }

  /** Listens, and registers itself from now on. */
  async start() {
    this.address = await listenOnLastingPort(this.#server);
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  /** Has its entry removed, without reporting that it drains, and says in its answers that it leaves. */
  leave() {
    clearInterval(this.#timer);
    this.#isLeaving = true;
    this.#store.remove(`servers/${this.id}`);
  }

  /** Exits: its port and all its channels are closed. */
  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Headers of each of its answers to a request. */
  commonHeaders(attemptId) {
    return {
      'Attempt-Id': attemptId,
      'Response-Signature': `${this.id}.${attemptId}`,
      ...(this.#isLeaving ? { 'Server-Leaving': '1' } : {}),
    };
  }

  #beat() {
    this.#seq += 1;
    this.#store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: 'hall',
      version: 'v1',
      slots: this.#slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.#seq,
      born: this.#born,
    });
  }

  async #handle(request, response) {
    const isEarly = this.#isEarly(request);
    const body = isEarly ? null : await readBody(request);
    const { 'attempt-id': attemptId, 'expect-instance': expected } = request.headers;
    const leaving = this.#isLeaving ? { 'Server-Leaving': '1' } : {};
    if (request.method === 'GET' && request.url === '/health') {
      const status = this.#isLeaving ? 503 : 200;
      response.writeHead(status, { 'Instance-Id': this.id, ...leaving, 'Content-Length': 0 });
      response.end();
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Instance-Id': this.id, ...leaving, 'Content-Length': 0 }).end();
      return;
    }
    const run = { runner: this.id, attemptId, at: Date.now(), isAnswered: false };
    this.runs.push(run);
    response.on('finish', () => {
      run.isAnswered = true;
      run.answeredAt = Date.now();
    });
    await this.#answer(request, response, { runner: this, attemptId, body, isEarly });
  }
}
