import { describe, itSerial } from '@filbertlatch/core/testing';

import { EndlessServer, endlessAnswers, measureMemory } from '../src/testing/index.js';

const MAX_BYTES = 200 * 1_048_576;
const MAX_MS = 5000;

const player = new URL('endlessReader.js', import.meta.url);

describe('an answer without end', () => {
  for (const reader of ['platform', 'peer', 'report', 'probe', 'order']) {
    for (const part of ['early heads', 'a body with chunks', 'a body with small chunks']) {
      itSerial(`to the ${reader} client, in ${part}, costs little memory and time`, async (t) => {
        const server = new EndlessServer(endlessAnswers[part]!);
        const address = await server.start();
        const probe = await measureMemory<{ tookMs: number }>(player, reader, address);
        server.stop();
        const text = JSON.stringify(probe);
        t.log(text);
        t.is(probe.end, null, text);
        t.true(probe.maxBytes <= MAX_BYTES, text);
        t.true(probe.outcome!.tookMs <= MAX_MS, text);
      });
    }
  }
});
