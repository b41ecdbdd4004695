import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { drawAttemptId, HOST, type Gateway } from '#standins';

import type { SeenRequest } from '../evidence.js';
import { kindsByRoute, TIMEOUT_MS } from '../traffic.js';
import { AnswerReader } from './answerReader.js';
import { formatStressHeaders } from './bodies.js';
import type { StressAction } from './draw.js';

type PipelinedGateway = Pick<Gateway, 'name' | 'listen'>;

type PipelineAction = Extract<StressAction, { kind: 'pipeline' }>;

const ROUTE = 'quick';
const BODY = '{"prompt":"next"}';

/** Requests that are written together. */
const BATCH = 50;

type Outcome = Pick<
  SeenRequest,
  'status' | 'answer' | 'error' | 'isRight' | 'endedAt' | 'connection'
>;

function formatRequest(id: string): string {
  const headers = { Host: HOST, ...formatStressHeaders(id), 'Content-Length': BODY.length };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST /${ROUTE}/${id} HTTP/1.1\r\n${lines.join('')}\r\n${BODY}`;
}

/** One connection whose requests follow each other without waiting for answers. */
class Pipeline {
  readonly #socket: Socket;

  readonly #sent: { readonly id: string; readonly sentAt: number }[] = [];

  readonly #outcomes: Outcome[] = [];

  readonly #reader = new AnswerReader();

  readonly #over = new AbortController();

  #isDone = false;

  #error: string | null = null;

  constructor(
    readonly gateway: PipelinedGateway,
    readonly action: PipelineAction,
  ) {
    const [host = '', port] = gateway.listen.front.split(':');
    this.#socket = connect(Number(port), host);
    this.#socket.on('error', ({ message }) => {
      this.#error = message;
    });
    this.#socket.on('close', () => this.#over.abort());
    if (action.isReading) this.#socket.on('data', (bytes: Buffer) => this.#read(bytes));
  }

  async run(): Promise<SeenRequest[]> {
    const over = sleep(this.action.forMs, undefined, { signal: this.#over.signal }).catch(() => {});
    void over.then(() => {
      this.#isDone = true;
    });
    await Promise.race([over, this.#write()]);
    await over;
    const hasClosed = this.#socket.closed;
    this.#socket.destroy();
    return this.#sent.map(({ id, sentAt }, index) => ({
      id,
      kind: kindsByRoute[ROUTE],
      vm: this.gateway.name,
      timeoutMs: TIMEOUT_MS,
      dueEvents: 0,
      sentAt,
      // Behind others it need not have been read, whenever it was written.
      writtenAt: null,
      isReused: index > 0,
      ...(this.#outcomes[index] ?? this.#endOpen(index, hasClosed)),
      events: [],
      versions: [],
      key: null,
    }));
  }

  /** The end of a request without an answer; a caller that does not read cannot tell, and has left. */
  #endOpen(index: number, hasClosed: boolean): Outcome {
    const end = { status: null, isRight: true, endedAt: Date.now() };
    if (!hasClosed || !this.action.isReading) {
      return { ...end, answer: 'left', error: null, connection: null };
    }
    const isCut = index === this.#outcomes.length && this.#reader.isInside;
    const error = this.#error ?? 'closed';
    return { ...end, answer: isCut ? 'cut' : 'none', error, connection: 'closed' };
  }

  async #write(): Promise<void> {
    while (!this.#isDone && this.#sent.length < this.action.requests) {
      const batch = Array.from({ length: BATCH }, () => drawAttemptId());
      const sentAt = Date.now();
      batch.forEach((id) => this.#sent.push({ id, sentAt }));
      const isTaken = this.#socket.write(batch.map(formatRequest).join(''));
      if (!isTaken) await once(this.#socket, 'drain').catch(() => {});
    }
  }

  #read(bytes: Buffer): void {
    this.#reader.push(bytes).forEach(({ status, id }) => {
      const isRight = id === null || id === this.#sent[this.#outcomes.length]?.id;
      const end = { error: null, connection: null, endedAt: Date.now() };
      this.#outcomes.push({ status, answer: 'whole', isRight, ...end });
    });
    if (this.#outcomes.length === this.action.requests) this.#over.abort();
  }
}

/** Opens connections that send one request after the other; resolves with what their callers have seen. */
export async function sendPipelines(
  gateway: PipelinedGateway,
  action: PipelineAction,
): Promise<SeenRequest[]> {
  const pipelines = Array.from({ length: action.count }, () => new Pipeline(gateway, action));
  return (await Promise.all(pipelines.map((pipeline) => pipeline.run()))).flat();
}
