import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itKnownRed, itSerial } from '@filbertlatch/core/testing';

import { SilentFleet } from './silentFleet.js';

const VMS = 3;
const SILENCE_MS = 1200;
const AFTER_MS = 1500;

/** What the VMs believe after a play. */
async function readBeliefs(fleet: SilentFleet) {
  const [lost, silent, sentByPeers, crashes, unhealthy] = await Promise.all([
    fleet.sum('change="lost"'),
    fleet.sum('change="silent"'),
    fleet.sum('side="sent"'),
    fleet.sum('crashes_total'),
    fleet.listUnhealthy(),
  ]);
  return { lost, silent, sentByPeers, crashes, unhealthy };
}

describe('a silence of endpoints whose hosts open connections', () => {
  itSerial('of all at once is neither a loss of links nor a crash', async (t) => {
    const fleet = new SilentFleet(VMS, 6);
    try {
      await fleet.play(async () => {
        for (let ms = 900; ms <= 1500; ms += 100) {
          await fleet.silence(6, ms);
          await sleep(400);
        }
        await sleep(AFTER_MS);
      });
      const beliefs = await readBeliefs(fleet);
      t.log(JSON.stringify(beliefs));
      t.log(fleet.failures.join('\n'));
      t.is(beliefs.lost, 0);
      t.is(beliefs.sentByPeers, 0);
      t.is(beliefs.crashes, 0);
      t.deepEqual(beliefs.unhealthy, []);
      t.true(beliefs.silent > 0);
    } finally {
      fleet.stop();
    }
  });

  itSerial('of six in ten is neither', async (t) => {
    const fleet = new SilentFleet(VMS, 10);
    try {
      await fleet.play(async () => {
        for (let times = 0; times < 3; times += 1) {
          await fleet.silence(6, SILENCE_MS);
          await sleep(400);
        }
        await sleep(AFTER_MS);
      });
      const beliefs = await readBeliefs(fleet);
      t.log(JSON.stringify(beliefs));
      t.is(beliefs.lost, 0);
      t.is(beliefs.crashes, 0);
    } finally {
      fleet.stop();
    }
  });

  itKnownRed('of one that goes on is the end of it', async (t) => {
    const fleet = new SilentFleet(VMS, 4);
    try {
      await fleet.play(async () => {
        await fleet.silence(1, 3500);
      });
      t.true((await fleet.sum('crashes_total{sign="silent"}')) > 0);
    } finally {
      fleet.stop();
    }
  });

  itSerial('does not hide the crash of one among them', async (t) => {
    const fleet = new SilentFleet(VMS, 6);
    try {
      await fleet.play(async () => {
        const silence = fleet.silence(6, SILENCE_MS);
        await sleep(600);
        fleet.crash(0);
        await silence;
        await sleep(AFTER_MS);
      });
      const beliefs = await readBeliefs(fleet);
      t.log(JSON.stringify(beliefs));
      t.is(beliefs.lost, 0);
      t.true(beliefs.crashes > 0);
    } finally {
      fleet.stop();
    }
  });
});
