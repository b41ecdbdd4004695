import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '@filbertlatch/core';
import { describe, itSerial } from '@filbertlatch/core/testing';

import { ChangingStore } from './changingStore.js';
import { createRoute, testConfiguration } from './fixtures.js';
import { LateVm } from './lateVm.js';
import { PeerNetwork } from './peerNetwork.js';
import { createVms } from './restartableVm.js';
import { read, type Stream } from './versionedFleet.js';
import { EVENTS, VersionedEndpoint } from './versionedEndpoint.js';

const VMS = 4;

const STREAMS = 60;

const STREAM_INTERVAL_MS = 50;

/** Time in which the VMs hear of each other and know that one version has served. */
const JOIN_MS = 2500;

/** Length of a stream's route, after which no stream from before the start can come. */
const TIMEOUT_MS = 1500;

const configuration = {
  ...testConfiguration,
  routes: [
    createRoute({
      ...{ prefix: '/resumed/', repetition: 'streaming', isResumable: true },
      ...{ attempts: 2, timeoutMs: TIMEOUT_MS },
    }),
  ],
};

/** Writes to several stores. */
class StoreGroup {
  readonly #stores: readonly ChangingStore[];

  constructor(...stores: readonly ChangingStore[]) {
    this.#stores = stores;
  }

  put(...entry: Parameters<ChangingStore['put']>): void {
    this.#stores.forEach((store) => store.put(...entry));
  }

  remove(id: string): void {
    this.#stores.forEach((store) => store.remove(id));
  }
}

/** What keeps a VM, whose view of the store ends, from hearing of a newer version. */
type Trouble = 'is cut off' | 'reads the store late' | 'stands still';

/** Blocks of the event loop, with some turns between them in which requests are read. */
const STANDSTILL = { takenMs: 700, leftMs: 60, forMs: 4000 };

/**
 * Plays streams that begin at three VMs and are taken up at a fourth; with a trouble a newer version
 * replaces the old one meanwhile.
 */
async function playStaleView(trouble: Trouble | null) {
  const random = createRandom(1);
  const seen = new ChangingStore(configuration);
  const stale = new ChangingStore(configuration);
  const both = new StoreGroup(seen, stale) as unknown as ChangingStore;
  const life = { end: 'reset', identity: 'new' } as const;
  const old = ['old-0', 'old-1'].map((id) => new VersionedEndpoint('1', random, id, life, both));
  const newer = ['new-0', 'new-1'].map((id) => new VersionedEndpoint('2', random, id, life, seen));
  await Promise.all(old.map((endpoint) => endpoint.start()));
  const vms = await createVms(VMS, [seen, seen, seen, stale]);
  const network = new PeerNetwork(random, 0);
  network.start(vms.map(({ control }) => control));
  const standing =
    trouble === 'stands still'
      ? await LateVm.start('vm-3', configuration, stale.list(), [vms[0]!.control])
      : null;
  if (standing !== null) vms.pop();
  await Promise.all(vms.map((vm) => vm.start()));
  const { callers: takingUp } = standing ?? vms.at(-1)!;
  const outcome = { begun: 0, joined: 0, wentOn: 0, refused: 0 };
  const follow = async (index: number) => {
    const stream: Stream = { events: [] };
    const headers = { 'x-request': `stream-${index}/0` };
    await read(vms[index % (VMS - 1)]!.callers, headers, stream, 3);
    if (stream.events.length === 0) return;
    outcome.begun += 1;
    await sleep(20);
    const resumed = {
      ...{ 'x-request': `stream-${index}/1`, 'x-resumes': `stream-${index}/0` },
      'x-after': String(stream.events.at(-1)!.id),
    };
    const { status } = await read(takingUp, resumed, stream, EVENTS + 1);
    if (status === 503) outcome.refused += 1;
    const versions = new Set(stream.events.map(({ version }) => version));
    if (versions.size > 1) outcome.joined += 1;
    else if (stream.events.length === EVENTS) outcome.wentOn += 1;
  };
  try {
    await sleep(JOIN_MS);
    if (trouble === 'is cut off') network.cutOff(vms.at(-1)!.control);
    if (trouble === 'is cut off') stale.hang();
    if (trouble !== null) {
      void standing?.standStill(STANDSTILL);
      await Promise.all(newer.map((endpoint) => endpoint.start()));
      ['old-0', 'old-1'].forEach((name) => {
        seen.listIds().forEach((id) => {
          if (id.startsWith(name)) seen.remove(id);
        });
      });
      await sleep(300);
    }
    const following: Promise<void>[] = [];
    for (let index = 0; index < STREAMS; index += 1) {
      following.push(follow(index));
      await sleep(STREAM_INTERVAL_MS);
    }
    await Promise.all(following);
  } finally {
    network.stop();
    vms.forEach((vm) => vm.stop());
    await standing?.stop();
    [...old, ...newer].forEach((endpoint) => endpoint.stop());
  }
  return outcome;
}

describe('streams that are taken up at a VM that knows only an older version', () => {
  (['is cut off', 'reads the store late', 'stands still'] as const).forEach((trouble) => {
    itSerial(`are not joined from two versions while it ${trouble}`, async (t) => {
      const outcome = await playStaleView(trouble);
      t.log(JSON.stringify(outcome));
      t.true(outcome.begun >= STREAMS / 2);
      t.is(outcome.joined, 0);
    });
  });

  itSerial('go on there when it is in touch and no other version serves', async (t) => {
    const outcome = await playStaleView(null);
    t.log(JSON.stringify(outcome));
    t.is(outcome.joined, 0);
    t.true(outcome.wentOn >= 0.95 * STREAMS);
  });
});
