import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { CutFleet, WHOLE_STREAM, type CutScenario } from './cutFleet.js';
import { call, type CallerAnswer } from './fixtures.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.SILENT_SEEDS ?? 1);

const scenario: CutScenario = {
  seed: 1,
  ...{ vms: 6, endpoints: 6, cutVms: 6, kind: 'silent', route: 'resumed' },
  ...{ everyMs: 20, cutMs: 0, healedMs: 0 },
};

const STREAMS_PER_VM = 20;

/** Time that callers give a stream, and the part of it after which an end is that of their time. */
const TIME_MS = 4000;
const ENDED_MS = 3700;

/** An answer, and the time after which its connection ended. */
interface TimedAnswer extends CallerAnswer {
  readonly tookMs: number;
}

async function callTimed(address: string, requestId: string): Promise<TimedAnswer> {
  const startedAt = performance.now();
  const headers = { 'x-request': requestId, 'x-remaining': String(TIME_MS) };
  const answer = await call(address, '/resumed/', { method: 'POST', headers });
  return { ...answer, tookMs: performance.now() - startedAt };
}

const WARM_UP_MS = 1000;

/** Sends streams at all VMs, whose links all fall silent in the middle. */
async function playSilence(silentMs: number, streams: number): Promise<TimedAnswer[]> {
  const fleet = new CutFleet(scenario);
  await fleet.start();
  try {
    const send = (prefix: string) =>
      fleet.vms.map((vm, index) => callTimed(vm.callers, `${prefix}-${index}`));
    // They find their peers.
    await sleep(WARM_UP_MS);
    await Promise.all(send('first'));
    const answers: Promise<TimedAnswer>[] = [];
    for (let sent = 0; sent < streams; sent += 1) {
      answers.push(...send(`stream-${sent}`));
      await sleep(5);
    }
    fleet.cut();
    await sleep(silentMs);
    await fleet.heal();
    return await Promise.all(answers);
  } finally {
    fleet.stop();
  }
}

describe('VMs whose endpoints are all silent for a while', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    [1200, 1700].forEach((silentMs) => {
      itSerial(`cut no stream that has begun (${silentMs} ms, play ${seed})`, async (t) => {
        const answers = await playSilence(silentMs, STREAMS_PER_VM);
        const begun = answers.filter(({ status }) => status === 200);
        const broken = begun.filter(({ isComplete }) => !isComplete);
        const cut = broken.filter(({ tookMs }) => tookMs < ENDED_MS);
        const changed = begun.filter(
          ({ body, isComplete }) => isComplete && body.replaceAll('\n\n', '\n') !== WHOLE_STREAM,
        );
        t.log(
          `${begun.length} of ${answers.length} begun, ${cut.length} of ${broken.length} cut early`,
        );
        t.true(begun.length > 0);
        t.is(cut.length, 0);
        t.is(changed.length, 0);
      });
    });
  }
});
