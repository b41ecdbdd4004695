import { once } from 'node:events';
import { Agent, request as sendRequest } from 'node:http';
import { Worker } from 'node:worker_threads';

import { createRandom, type Configuration, type Random } from '@filbertlatch/core';

import {
  call,
  createRoute,
  startEndpoint,
  testConfiguration,
  waitUntil,
  type TestEndpoint,
} from './fixtures.js';
import type { SlowVmAddresses, SlowVmData } from './slowVm.js';

/** Target of each request, and the time after which its caller leaves. */
export const TARGET_MS = 800;
const DEADLINE_MS = 2000;

/** Processor time of a request that is sent on, beside what the gateway itself takes. */
const SEND_MS = 8;

/** Worth of a request that is answered after its target, of one in time. */
const LATE_WORTH = 0.3;

const ROUTES = { urgent: 0, normal: 1 } as const;

type Urgency = keyof typeof ROUTES;

/** Requests a second of one client account, by urgency. */
export type Rates = Readonly<Record<Urgency, number>>;

/** Load of a play: requests a second of the account that floods the VM and of the other. */
export interface Load {
  readonly steady: Rates;
  readonly flood: Rates;
  readonly seconds: number;
  readonly seed: number;
}

/** What became of one request. */
export interface Outcome {
  readonly account: 'steady' | 'flood';
  readonly urgency: Urgency;
  /** Status of the answer; null when the caller left or its connection broke. */
  readonly status: number | null;
  readonly elapsedMs: number;
}

const ACCOUNTS = ['steady', 'flood'] as const;
const URGENCIES = ['urgent', 'normal'] as const;

const configuration: Configuration = {
  ...testConfiguration,
  routes: URGENCIES.map((urgency) =>
    createRoute({
      id: urgency,
      prefix: `/${urgency}/`,
      priority: ROUTES[urgency],
      timeoutMs: DEADLINE_MS,
      targetMs: TARGET_MS,
    }),
  ),
  accounts: new Map(ACCOUNTS.map((id) => [`key-${id}`, { id, priority: null }])),
};

/** Says whether a request was answered with success within its target. */
export function isInTime({ status, elapsedMs }: Outcome): boolean {
  return status === 200 && elapsedMs <= TARGET_MS;
}

/** Returns the worth that was served, in requests answered in time. */
export function sumWorth(outcomes: readonly Outcome[]): number {
  return outcomes
    .filter(({ status }) => status === 200)
    .reduce((sum, outcome) => sum + (isInTime(outcome) ? 1 : LATE_WORTH), 0);
}

/** Starts endpoints that answer at once, with slots to spare. */
async function startEndpoints(): Promise<TestEndpoint[]> {
  return Promise.all(
    ['e1', 'e2'].map(async (id) => {
      const started = await startEndpoint(id, (request, response) => {
        response.setHeader('x-request', request.headers['x-request']!);
        response.setHeader('x-mac', 'mac');
        response.end('answer');
      });
      return { ...started, endpoint: { ...started.endpoint, slots: 512 } };
    }),
  );
}

/** Draws the instants of a Poisson process, in milliseconds. */
function drawArrivals(perSecond: number, seconds: number, random: Random): number[] {
  const instants: number[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - random.next()) * 1000) / perSecond;
    if (at >= seconds * 1000) return instants;
    instants.push(at);
  }
}

function sendOne(
  callers: string,
  agent: Agent,
  id: string,
  { account, urgency }: Pick<Outcome, 'account' | 'urgency'>,
): Promise<Outcome> {
  const sentAt = performance.now();
  const [host, port] = callers.split(':');
  return new Promise((resolve) => {
    const end = (status: number | null) =>
      resolve({ account, urgency, status, elapsedMs: performance.now() - sentAt });
    const headers = {
      host: 'desk.example',
      'x-request': id,
      'x-key': `key-${account}`,
      'x-remaining': String(DEADLINE_MS),
    };
    const path = `/${urgency}/1`;
    const outgoing = sendRequest({ host, port: Number(port), agent, path, headers }, (response) => {
      response.resume();
      response.on('end', () => end(response.statusCode ?? null));
      response.on('error', () => end(null));
    });
    outgoing.on('error', () => end(null));
    const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS);
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.end();
  });
}

async function playLoad(callers: string, { steady, flood, seconds, seed }: Load) {
  const random = createRandom(seed);
  const agent = new Agent({ keepAlive: true });
  const rates = { steady, flood };
  const kinds = ACCOUNTS.flatMap((account) => URGENCIES.map((urgency) => ({ account, urgency })));
  const arrivals = kinds.flatMap((kind) =>
    drawArrivals(rates[kind.account][kind.urgency], seconds, random).map((at) => ({ at, kind })),
  );
  try {
    return await Promise.all(
      arrivals.map(
        ({ at, kind }, index) =>
          new Promise<Outcome>((resolve) => {
            setTimeout(() => resolve(sendOne(callers, agent, `request-${index}`, kind)), at);
          }),
      ),
    );
  } finally {
    agent.destroy();
  }
}

/** Plays loads one after the other at a VM whose processor sends about a hundred requests a second. */
export async function playOverload(loads: readonly Load[]): Promise<Outcome[][]> {
  const endpoints = await startEndpoints();
  const data: SlowVmData = {
    configuration,
    endpoints: endpoints.map(({ endpoint }) => endpoint),
    sendMs: SEND_MS,
  };
  const worker = new Worker(new URL('slowVm.js', import.meta.url), { workerData: data });
  try {
    const [{ callers, ready }] = (await once(worker, 'message')) as [SlowVmAddresses];
    await waitUntil(async () => (await call(ready, '/')).status === 200);
    const outcomes: Outcome[][] = [];
    for (const load of loads) outcomes.push(await playLoad(callers, load));
    return outcomes;
  } finally {
    await worker.terminate();
    endpoints.forEach((endpoint) => endpoint.close());
  }
}
