import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

import { findFreeAddress } from '../../src/testing/index.js';
import { ChangingStore } from './changingStore.js';
import { call, testConfiguration, waitUntil, type CallerAnswer } from './fixtures.js';
import { listenAgain } from './keptPort.js';
import { createVms } from './restartableVm.js';
import { readMetric } from './threadedVm.js';

/** How an endpoint that answers at the head of a request goes on. */
export interface EarlyAnswer {
  /** Status line of the answer. */
  readonly status: string;
  /** Bytes of the request that it reads after its head; the rest stays unread. */
  readonly readsBytes: number;
  /** What ends the answer, after `holdMs`: a reset, an end, a close, or an end that a reset follows. */
  readonly end: 'reset' | 'end' | 'close' | 'end-then-reset';
  readonly holdMs: number;
  /** Time from an end to the reset that follows it, in milliseconds; 30 unless set. */
  readonly resetAfterMs?: number;
}

const MAX_BODY_BYTES = 8_388_608;

/** The part of an answer that arrives. */
export const ANSWER_PART = 'id: 1\ndata: 1\n\n';

const configuration: Configuration = {
  ...testConfiguration,
  limits: { ...testConfiguration.limits, maxBodyBytes: MAX_BODY_BYTES },
};

/** Reads bytes, then no more. */
function readBytes(socket: Socket, bytes: number): Promise<void> {
  socket.pause();
  if (bytes <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    let leftBytes = bytes;
    const count = (chunk: Buffer) => {
      leftBytes -= chunk.length;
      if (leftBytes > 0) return;
      socket.off('data', count);
      socket.pause();
      resolve();
    };
    socket.on('data', count);
    socket.on('close', () => resolve());
    socket.resume();
  });
}

/** An endpoint on a bare socket that answers without a length, as soon as it has read a head. */
class EarlyEndpoint {
  readonly #answer: EarlyAnswer;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  runs = 0;

  constructor(answer: EarlyAnswer) {
    this.#answer = answer;
    this.#server = createServer({ allowHalfOpen: true }, (socket) => this.#serve(socket));
  }

  async start(): Promise<RegisteredEndpoint> {
    const address = await findFreeAddress();
    await listenAgain(this.#server, address);
    return {
      ...{ id: 'e0', serviceId: 'desk', address, zone: 'zone-a', slots: 6, state: 'ready' },
      ...{ startedAt: 1, version: null },
    };
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => {});
    let text = '';
    const readHead = (chunk: Buffer) => {
      text += chunk.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      if (text.startsWith('GET /health')) {
        text = '';
        socket.write('HTTP/1.1 200 OK\r\nx-instance: e0\r\ncontent-length: 0\r\n\r\n');
        return;
      }
      socket.off('data', readHead);
      void this.#run(socket, text.slice(0, end), text.length - end - 4);
    };
    socket.on('data', readHead);
    socket.on('end', () => socket.end());
  }

  async #run(socket: Socket, head: string, bytesBefore: number): Promise<void> {
    this.runs += 1;
    const { status, readsBytes, end, holdMs, resetAfterMs = 30 } = this.#answer;
    const id = /^x-request: (.*)$/im.exec(head)?.[1];
    const type = /^POST \/(stream|resumed)/.test(head) ? 'text/event-stream' : 'text/plain';
    socket.write(
      `HTTP/1.1 ${status}\r\nx-request: ${id}\r\nx-mac: mac\r\ncontent-type: ${type}\r\n\r\n${ANSWER_PART}`,
    );
    await readBytes(socket, readsBytes - bytesBefore);
    await sleep(holdMs);
    if (end !== 'reset') socket.end();
    if (end === 'end-then-reset') await sleep(resetAfterMs);
    if (end === 'close') socket.destroySoon();
    else if (end !== 'end') socket.resetAndDestroy();
  }
}

/** What a caller got, and how often its request ran. */
export interface EarlyOutcome {
  readonly answer: CallerAnswer | null;
  readonly runs: number;
}

/** Sends an upload to an endpoint that answers at its head, directly or by way of another VM. */
export async function playEarlyAnswer(
  early: EarlyAnswer,
  path: string,
  bodyBytes: number,
  isByPeer: boolean,
  deadlineMs = 3000,
): Promise<EarlyOutcome> {
  const store = new ChangingStore(configuration);
  const endpoint = new EarlyEndpoint(early);
  const registered = await endpoint.start();
  store.put(registered);
  const lost = new ChangingStore(configuration);
  lost.put({ ...registered, address: await findFreeAddress() });
  const vms = await createVms(2, isByPeer ? [lost, store] : store);
  try {
    await Promise.all(vms.map((vm) => vm.start()));
    const [vm] = vms;
    if (isByPeer) {
      await waitUntil(async () => {
        await call(vm!.callers, '/safe/', { headers: { 'x-request': 'first' } }).catch(() => null);
        return (await readMetric(vm!, 'change="lost"')) > 0;
      });
    }
    endpoint.runs = 0;
    const body = 'x'.repeat(bodyBytes);
    const headers = {
      ...{ 'x-request': 'upload', 'x-remaining': String(deadlineMs) },
      'content-length': String(bodyBytes),
    };
    const answer = await call(vm!.callers, path, { method: 'POST', headers, body }).catch(
      () => null,
    );
    return { answer, runs: endpoint.runs };
  } finally {
    vms.forEach((vm) => vm.stop());
    endpoint.close();
  }
}
