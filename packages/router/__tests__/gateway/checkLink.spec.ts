import { setTimeout as sleep } from 'node:timers/promises';

import { BEAT_INTERVAL_MS } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { checkLink } from '../../src/gateway/checkLink.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { blockLoop, startThreadedEndpoint } from './threadedEndpoint.js';

describe('the check of a link to an endpoint that does not answer', () => {
  it('ends on a process that hardly gets time', async (t) => {
    const silent = await startThreadedEndpoint('e0', { healthDelayMs: 60_000 });
    const loopDelay = new LoopDelay();
    const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
    const links: string[] = [];
    const check = checkLink(silent.endpoint, '/health', loopDelay).then((link) => {
      links.push(link);
    });
    for (let blocks = 0; blocks < 12 && links.length === 0; blocks += 1) {
      await sleep(20);
      blockLoop(700);
    }
    await silent.close();
    clearInterval(timer);
    t.deepEqual(links, ['silent']);
    await check;
  });
});
