import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreeAddress } from '../../src/testing/index.js';
import { ChangingStore } from './changingStore.js';
import {
  call,
  startEndpoint,
  testConfiguration,
  waitUntil,
  type TestEndpoint,
} from './fixtures.js';
import { createVms } from './restartableVm.js';
import { readMetric } from './threadedVm.js';
import { formatWholeAnswer, sendUnframedAnswer } from './unframedEndpoint.js';

/** Sound endpoints whose answers, without a length, begin late. */
export interface LateHeads {
  /** Time from a request to the head of its answer, in milliseconds. */
  readonly headMs: number;
  /** Further times before the parts with these numbers are followed by the next, in milliseconds. */
  readonly pauses?: Readonly<Record<number, number>>;
  /** Requests and health checks that an endpoint works on at once; the others wait. */
  readonly slots: number;
  /** Time after which an endpoint closes an idle connection, in milliseconds. */
  readonly idleMs: number;
  readonly callers: number;
  readonly requestsPerCaller: number;
  readonly pauseMs: number;
  /** Whether other requests are answered at once, with a length. */
  readonly hasQuickRequests: boolean;
  /** Whether the callers' VM sends the requests by way of another one. */
  readonly isByPeer: boolean;
  /** Time from the first request until all entries are removed, in milliseconds; null for never. */
  readonly leavesAfterMs: number | null;
}

/** How many answers reached their callers whole, of those that were sent. */
export interface LateHeadOutcome {
  readonly sent: number;
  readonly whole: number;
}

const ENDPOINTS = 2;
const PART_GAP_MS = 20;
const PATHS = ['/plain/', '/stream/'];

/** An endpoint that works on a few requests at once. */
class SlotQueue {
  #free: number;

  readonly #waiting: (() => void)[] = [];

  constructor(slots: number) {
    this.#free = slots;
  }

  async run(work: () => Promise<void>): Promise<void> {
    if (this.#free > 0) this.#free -= 1;
    else {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    await work();
    const next = this.#waiting.shift();
    if (next === undefined) this.#free += 1;
    else next();
  }
}

async function startLateEndpoint(id: string, { headMs, slots, idleMs, pauses = {} }: LateHeads) {
  const queue = new SlotQueue(slots);
  const answer = async (request: IncomingMessage, response: ServerResponse) => {
    if (request.headers['x-request'] === 'quick') {
      const headers = { 'x-request': 'quick', 'x-mac': 'mac', 'content-length': 2 };
      response.writeHead(200, headers).end('ok');
      return;
    }
    await sleep(headMs);
    const isOver = () => false;
    await sendUnframedAnswer(request, response, { gapMs: PART_GAP_MS, isOver, pauses });
  };
  return startEndpoint(
    id,
    (request, response) => {
      void queue.run(() => answer(request, response));
    },
    (_request, response) => {
      void queue.run(async () => {
        response.writeHead(200, { 'x-instance': id, 'content-length': 0 }).end();
      });
    },
    idleMs,
  );
}

/** Views of the VMs: by way of a peer, the first one's has addresses that nothing listens on. */
async function createStores(
  endpoints: readonly TestEndpoint[],
  isByPeer: boolean,
): Promise<ChangingStore[]> {
  const store = new ChangingStore(testConfiguration);
  endpoints.forEach(({ endpoint }) => store.put(endpoint));
  if (!isByPeer) return [store, store];
  const lost = new ChangingStore(testConfiguration);
  for (const { endpoint } of endpoints) {
    lost.put({ ...endpoint, address: await findFreeAddress() });
  }
  return [lost, store];
}

/** Sends requests by two VMs to two sound endpoints; counts the answers that are whole. */
export async function playLateHeads(scenario: LateHeads): Promise<LateHeadOutcome> {
  const ids = Array.from({ length: ENDPOINTS }, (_, index) => `e${index}`);
  const endpoints = await Promise.all(ids.map(async (id) => startLateEndpoint(id, scenario)));
  const stores = await createStores(endpoints, scenario.isByPeer);
  const vms = await createVms(2, stores);
  let sent = 0;
  let whole = 0;
  const sendAll = async (caller: number) => {
    for (let index = 0; index < scenario.requestsPerCaller; index += 1) {
      const { callers } = vms[scenario.isByPeer ? 0 : caller % vms.length]!;
      const path = PATHS[(caller + index) % PATHS.length]!;
      const headers = { 'x-request': `${caller}-${index}`, 'x-remaining': '9000' };
      sent += 1;
      const answer = await call(callers, path, { method: 'POST', headers }).catch(() => null);
      const isWhole = answer?.isComplete === true && answer.body === formatWholeAnswer(path);
      if (isWhole && answer.status === 200) whole += 1;
      if (scenario.hasQuickRequests) {
        await call(callers, '/open/', { headers: { 'x-request': 'quick' } });
      }
      await sleep(scenario.pauseMs);
    }
  };
  try {
    await Promise.all(vms.map((vm) => vm.start()));
    if (scenario.isByPeer) {
      await waitUntil(async () => {
        await call(vms[0]!.callers, '/open/', { headers: { 'x-request': 'quick' } });
        return (await readMetric(vms[0]!, 'change="lost"')) > 0;
      });
    }
    const { callers, leavesAfterMs } = scenario;
    const calls = Array.from({ length: callers }, async (_, caller) => sendAll(caller));
    if (leavesAfterMs !== null) {
      await sleep(leavesAfterMs);
      endpoints.forEach(({ endpoint }) => stores.at(-1)!.remove(endpoint.id));
    }
    await Promise.all(calls);
    return { sent, whole };
  } finally {
    vms.forEach((vm) => vm.stop());
    endpoints.forEach((endpoint) => endpoint.close());
  }
}
