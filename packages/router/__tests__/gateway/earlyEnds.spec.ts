import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { addNote } from '../../src/gateway/transitEnvelope.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { FakePeer } from './fakePeer.js';
import {
  call,
  createSource,
  startGateway,
  testConfiguration,
  waitUntil,
  type CallerAnswer,
  type TestGateway,
} from './fixtures.js';

const BODY = 'whole answer';
const EVENTS = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';

/** Bytes between two cases; 1 by hand. */
const STEP = Number(process.env.EARLY_END_STEP ?? 11);

/** Requests at a time. */
const CONCURRENCY = 24;

type Framing = 'length' | 'length first' | 'chunks' | 'close' | 'after 1xx' | 'no body';
type EndKind = 'fin' | 'reset';

const framings: readonly Framing[] = [
  ...(['length', 'length first', 'chunks', 'close', 'after 1xx', 'no body'] as const),
];

const isStreamPath = (path: string) => path === '/stream/' || path === '/resumed/';

const wholeBody = (path: string) => (isStreamPath(path) ? EVENTS : BODY);

function formatChunks(body: string): string {
  const half = Math.floor(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)];
  const lines = chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  return `${lines.join('')}0\r\n\r\n`;
}

/** Formats an answer; returns its head and its body as they are on the wire. */
function formatAnswer(
  framing: Framing,
  path: string,
  headers: readonly string[],
  isClosing: boolean,
): readonly [string, string] {
  const body = framing === 'no body' ? '' : wholeBody(path);
  const type = isStreamPath(path) ? 'text/event-stream' : 'text/plain';
  const length = `Content-Length: ${body.length}`;
  const common = [...headers, `Content-Type: ${type}`];
  if (isClosing || framing === 'close') common.push('Connection: close');
  const lines: Readonly<Record<Framing, readonly string[]>> = {
    length: [...common, length],
    'length first': [length, ...common],
    chunks: [...common, 'Transfer-Encoding: chunked'],
    close: common,
    'after 1xx': [...common, length],
    'no body': [...common, length],
  };
  const interim = framing === 'after 1xx' ? 'HTTP/1.1 100 Continue\r\n\r\n' : '';
  const head = `${interim}HTTP/1.1 200 OK\r\n${lines[framing].join('\r\n')}\r\n\r\n`;
  return [head, framing === 'chunks' ? formatChunks(body) : body];
}

/** What the server does with the request that names it. */
interface Order {
  readonly path: string;
  readonly framing: Framing;
  readonly isClosing: boolean;
  readonly end: EndKind;
  /** Bytes of the answer that are sent before the end; all when there are no more. */
  readonly sentBytes: number;
}

/** Answers with the first bytes of an answer, as the request orders; counts how often each ran. */
class EarlyEndServer {
  readonly runs = new Map<string, number>();

  readonly orders = new Map<string, Order>();

  readonly #isPeer: boolean;

  readonly #server: Server;

  constructor(isPeer: boolean) {
    this.#isPeer = isPeer;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  async listen(port = 0): Promise<string> {
    this.#server.listen(port, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
  }

  /** Returns the answer to a request as it would be whole. */
  format(id: string, { path, framing, isClosing }: Order): readonly [string, string] {
    const headers = [`x-request: ${id}`, 'x-mac: mac'];
    if (this.#isPeer) headers.push(addNote([], { kind: 'answer', origin: null }).join(': '));
    return formatAnswer(framing, path, headers, isClosing);
  }

  #serve(socket: Socket): void {
    let text = '';
    socket.on('error', () => {
      // The gateway closes connections that it does not trust.
    });
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      // Requests have a length, and come one at a time.
      const [head, body] = text.split('\r\n\r\n');
      const length = Number(/content-length: (\d+)/i.exec(head!)?.[1] ?? 0);
      if (body === undefined || body.length < length) return;
      text = '';
      if (head!.includes('/health')) {
        socket.write('HTTP/1.1 200 OK\r\nx-instance: e0\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      this.#answer(socket, /x-request: (\S+)/i.exec(head!)![1]!);
    });
  }

  #answer(socket: Socket, id: string): void {
    const order = this.orders.get(id);
    if (order === undefined) return;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    const answer = this.format(id, order).join('');
    socket.write(answer.slice(0, order.sentBytes), () => {
      if (order.sentBytes >= answer.length && !order.isClosing && order.framing !== 'close') return;
      if (order.end === 'fin') socket.end();
      else socket.resetAndDestroy();
    });
  }
}

/** What callers saw of answers that end early. */
interface EarlyEndOutcome {
  cases: number;
  /** Whole answers between the cases that reached their callers. */
  whole: number;
  /** Cases whose request reached the server. */
  reached: number;
  /** Answers that look whole and are not. */
  falseEnds: string[];
  /** Requests that must run once and ran twice. */
  twice: number;
  /** Requests that ran and were refused as not run. */
  untrue: number;
}

function listOrders(server: EarlyEndServer, path: string): Order[] {
  return framings.flatMap((framing) =>
    [false, true].flatMap((isClosing) =>
      (['fin', 'reset'] as const).flatMap((end) => {
        const whole = { path, framing, isClosing, end, sentBytes: Number.POSITIVE_INFINITY };
        const [head, body] = server.format('request-00000', whole);
        // Without a length or chunks only the connection tells the end of a body.
        const bytes = framing === 'close' ? head.length - 1 : head.length + body.length - 1;
        const cases = Math.floor(bytes / STEP) + 1;
        // The last bytes first, in steps.
        return Array.from({ length: cases }, (_, index) => ({
          ...whole,
          sentBytes: bytes - index * STEP,
        }));
      }),
    ),
  );
}

async function playEarlyEnds(
  vm: TestGateway,
  server: EarlyEndServer,
  path: string,
): Promise<EarlyEndOutcome> {
  const outcome: EarlyEndOutcome = {
    cases: 0,
    whole: 0,
    reached: 0,
    falseEnds: [],
    twice: 0,
    untrue: 0,
  };
  const orders = listOrders(server, path);
  const send = (id: string) =>
    call(vm.callers, path, { method: 'POST', headers: { 'x-request': id }, body: id });
  const judge = (id: string, order: Order, { body, isComplete, status }: CallerAnswer) => {
    const runs = server.runs.get(id) ?? 0;
    outcome.cases += 1;
    if (runs > 0) outcome.reached += 1;
    if (path === '/plain/' && runs > 1) outcome.twice += 1;
    if (status === 503 && isComplete && runs > 0) outcome.untrue += 1;
    if (status === 200 && isComplete) outcome.falseEnds.push(`${JSON.stringify(order)}: ${body}`);
  };
  const work = async () => {
    for (let order = orders.pop(); order !== undefined; order = orders.pop()) {
      const id = `request-${String(orders.length).padStart(5, '0')}`;
      // A whole answer before keeps the connection, and the endpoint in use.
      const before = `${id}-before`;
      server.orders.set(before, {
        ...{ path, framing: 'length', isClosing: false, end: 'fin' },
        sentBytes: Number.POSITIVE_INFINITY,
      });
      const { body, status } = await send(before);
      if (status === 200 && body === wholeBody(path)) outcome.whole += 1;
      server.orders.set(id, order);
      judge(id, order, await send(id));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, work));
  return outcome;
}

const configuration = {
  ...testConfiguration,
  routes: testConfiguration.routes.map((route) => ({ ...route, attempts: 1 })),
};

const createEndpoint = (address: string) => ({
  ...{ id: 'e0', serviceId: 'desk', address, zone: 'zone-a', slots: 64 },
  ...{ state: 'ready' as const, startedAt: null, version: null },
});

describe('an answer that ends at any byte before its end', () => {
  ['/plain/', '/safe/', '/stream/', '/resumed/'].forEach((path) => {
    itSerial(`does not look whole to its caller: from an endpoint, on ${path}`, async (t) => {
      const server = new EarlyEndServer(false);
      const address = await server.listen();
      const vm = await startGateway(createSource(configuration, [createEndpoint(address)]));
      const outcome = await playEarlyEnds(vm, server, path);
      vm.gateway.stop();
      server.close();
      const { falseEnds, ...counts } = outcome;
      t.log(JSON.stringify(counts));
      t.deepEqual(falseEnds, []);
      t.is(outcome.twice, 0);
      t.is(outcome.untrue, 0);
      t.true(outcome.reached >= 0.9 * outcome.cases);
      t.true(outcome.whole >= 0.9 * outcome.cases);
    });

    itSerial(`does not look whole to its caller: by way of a peer, on ${path}`, async (t) => {
      const lost = createEndpoint(await findFreeAddress());
      const vm = await startGateway(createSource(configuration, [lost]));
      const peer = new FakePeer('peer', null);
      const server = new EarlyEndServer(true);
      await peer.start(vm.control);
      await server.listen(Number(peer.address.split(':')[1]));
      await waitUntil(async () => {
        const headers = { 'x-request': 'first' };
        await call(vm.callers, '/open/', { headers }).catch(() => null);
        return (await call(vm.control, '/metrics')).body.includes('change="lost"');
      });
      const outcome = await playEarlyEnds(vm, server, path);
      vm.gateway.stop();
      peer.stop();
      server.close();
      const { falseEnds, ...counts } = outcome;
      t.log(JSON.stringify(counts));
      t.deepEqual(falseEnds, []);
      t.is(outcome.twice, 0);
      t.is(outcome.untrue, 0);
      t.true(outcome.reached >= 0.9 * outcome.cases);
      t.true(outcome.whole >= 0.9 * outcome.cases);
    });
  });
});
