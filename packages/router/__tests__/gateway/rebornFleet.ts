import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreeAddress } from '../../src/testing/index.js';
import { ChangingStore } from './changingStore.js';
import { CutLink } from './cutLink.js';
import { call, testConfiguration, type CallerAnswer } from './fixtures.js';
import { listenAgain } from './keptPort.js';
import { createVms } from './restartableVm.js';
import { sendUnframedAnswer } from './unframedEndpoint.js';

/** What happens while an endpoint gives an answer that only the end of its connection delimits. */
export interface RebornScenario {
  /** Whether the endpoint crashes behind a cut and starts again under its id; it only pauses if not. */
  readonly restarts: boolean;
  /** Whether the store tells of the later start before the cut ends. */
  readonly isStoreAway: boolean;
  /** Time of the cut, and of a pause in the answer of an endpoint that does not crash. */
  readonly silentMs: number;
  /** Whether the silence comes before the answer begins, in its middle, or before its end. */
  readonly silence: 'before' | 'within' | 'last';
  /** Time from the request to the head of its answer, in milliseconds. */
  readonly headMs: number;
  /** Whether the endpoint is full: a health check waits until it has no request. */
  readonly isFull: boolean;
  /** Whether the caller's VM sends the request by way of another one. */
  readonly isByPeer: boolean;
  /** Whether the endpoint has given such an answer before. */
  readonly isKnown: boolean;
}

const ID = 'e0';
const PART_GAP_MS = 40;

/** Time from the request to the cut: within the answer. */
const CUT_AFTER_MS = 100;

/** Time from the cut to the crash behind it, and from there to the next start. */
const CRASH_AFTER_MS = 20;
const RESTART_AFTER_MS = 600;

/** One endpoint behind a link, which may crash and start again. */
class RebornEndpoint {
  readonly #scenario: RebornScenario;

  readonly #store: ChangingStore;

  #address = '';

  #server: Server | null = null;

  #lifetime = 0;

  #running = 0;

  link!: CutLink;

  constructor(scenario: RebornScenario, store: ChangingStore) {
    this.#scenario = scenario;
    this.#store = store;
  }

  async open(): Promise<void> {
    this.#address = await findFreeAddress();
    this.link = await CutLink.create(this.#address);
    await this.start();
    this.#register();
  }

  async start(): Promise<void> {
    this.#lifetime += 1;
    this.#running = 0;
    this.#server = createServer((request, response) => this.#handle(request, response));
    await listenAgain(this.#server, this.#address);
    if (!this.#scenario.isStoreAway) this.#register();
  }

  crash(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  close(): void {
    this.crash();
    this.link.close();
  }

  #register(): void {
    this.#store.put({
      ...{ id: ID, serviceId: 'desk', address: this.link.address, zone: 'zone-a', slots: 64 },
      ...{ state: 'ready', startedAt: this.#lifetime, version: null },
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {});
    if (request.url === '/health') void this.#answerHealth(response);
    else void this.#run(request, response);
  }

  async #answerHealth(response: ServerResponse): Promise<void> {
    while (this.#scenario.isFull && this.#running > 0 && !response.destroyed) await sleep(5);
    response.writeHead(200, { 'x-instance': ID }).end();
  }

  async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headMs, silence, silentMs, restarts } = this.#scenario;
    const isFirst = request.headers['x-request'] === 'first';
    const pauseMs = isFirst || restarts ? 0 : silentMs;
    const lifetime = this.#lifetime;
    this.#running += 1;
    if (silence === 'before') await sleep(pauseMs);
    if (!isFirst) await sleep(headMs);
    if (this.#lifetime !== lifetime || response.destroyed) return;
    await sendUnframedAnswer(request, response, {
      gapMs: PART_GAP_MS,
      isOver: () => this.#lifetime !== lifetime,
      pauses: silence === 'before' ? {} : { [silence === 'within' ? 3 : 6]: pauseMs },
    });
    this.#running -= 1;
  }
}

/** Plays a scenario with three VMs and one endpoint; returns what the caller saw. */
export async function playReborn(
  scenario: RebornScenario,
  path: string,
): Promise<CallerAnswer | null> {
  const store = new ChangingStore(testConfiguration);
  const endpoint = new RebornEndpoint(scenario, store);
  await endpoint.open();
  const lost = new ChangingStore(testConfiguration);
  const [registered] = store.list();
  lost.put({ ...registered!, address: await findFreeAddress() });
  const vms = await createVms(3, scenario.isByPeer ? [lost, store, store] : store);
  const send = async (id: string, vm: number) => {
    const headers = { 'x-request': id, 'x-remaining': '4000' };
    const options = { method: 'POST', headers };
    return call(vms[vm]!.callers, path, options).catch(() => null);
  };
  try {
    await Promise.all(vms.map((vm) => vm.start()));
    if (scenario.isKnown) await Promise.all(vms.map((_, vm) => send('first', vm)));
    const answer = send('doomed', 0);
    if (scenario.restarts) {
      await sleep(CUT_AFTER_MS);
      endpoint.link.cut();
      await sleep(CRASH_AFTER_MS);
      endpoint.crash();
      await sleep(RESTART_AFTER_MS);
      await endpoint.start();
      await sleep(scenario.silentMs - CRASH_AFTER_MS - RESTART_AFTER_MS);
      endpoint.link.heal();
    }
    return await answer;
  } finally {
    vms.forEach((vm) => vm.stop());
    endpoint.close();
  }
}
