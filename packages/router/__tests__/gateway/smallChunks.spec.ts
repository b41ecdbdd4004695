import { describe, itSerial } from '@filbertlatch/core/testing';

import { measureMemory } from '../../src/testing/index.js';

const CHUNKS = 4_000_000;
const MAX_BYTES = 150 * 1_048_576;

describe('an answer that comes a byte at a time', () => {
  itSerial('takes as much memory as one that comes in large chunks', async (t) => {
    const player = new URL('smallChunkReader.js', import.meta.url);
    const probe = await measureMemory<number>(player, String(CHUNKS));
    const text = JSON.stringify(probe);
    t.log(text);
    t.is(probe.outcome, CHUNKS, text);
    t.true(probe.maxBytes <= MAX_BYTES, text);
  });
});
