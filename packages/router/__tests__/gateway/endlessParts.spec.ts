import { describe, itKnownRed, itSerial } from '@filbertlatch/core/testing';

import { endlessAnswers, measureMemory } from '../../src/testing/index.js';
import type { OtherRequests } from './endlessPartPlayer.js';

/** Memory of a VM, the servers that send without end, and a sound one in one process. */
const MAX_BYTES = 200 * 1_048_576;

const MIN_SERVED = 0.99;

const player = new URL('endlessPartPlayer.js', import.meta.url);

const parts: Readonly<Record<string, readonly string[]>> = {
  endpoints: Object.keys(endlessAnswers),
  peers: [...Object.keys(endlessAnswers), 'chunks of a call', 'a call with a length'],
};

/** Listed in KNOWN-RED.txt. */
const KNOWN_RED = 'endpoints, in the body of an error';

describe('bytes without end from', () => {
  Object.entries(parts).forEach(([who, whats]) => {
    whats.forEach((part) => {
      const define = `${who}, in ${part}` === KNOWN_RED ? itKnownRed : itSerial;
      define(`${who}, in ${part}, cost little memory and no other request`, async (t) => {
        const probe = await measureMemory<OtherRequests>(player, who, part);
        const text = JSON.stringify(probe);
        t.log(text);
        t.is(probe.end, null, text);
        t.true(probe.maxBytes <= MAX_BYTES, text);
        t.true(probe.outcome!.served >= MIN_SERVED * probe.outcome!.sent, text);
      });
    });
  });
});
