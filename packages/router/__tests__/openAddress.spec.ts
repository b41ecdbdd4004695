import { EventEmitter } from 'node:events';

import { describe, it } from '@filbertlatch/core/testing';

import { openAddress } from '../src/openAddress.js';

/** Opens an address that is refused once with a code; returns what was reported. */
async function openRefused(code: string): Promise<readonly string[]> {
  const socket = new EventEmitter();
  const answers = [() => socket.emit('error', Object.assign(new Error(code), { code }))];
  const reports: string[] = [];
  const open = () => (answers.pop() ?? (() => socket.emit('listening')))();
  await openAddress(socket, open, { address: 'a', report: (event) => reports.push(event) });
  return reports;
}

describe('an address that is refused', () => {
  ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE'].forEach((code) => {
    it(`is asked for again: ${code}`, async (t) => {
      t.deepEqual(await openRefused(code), ['address_refused', 'address_opened']);
    });
  });

  ['EACCES', 'EPERM', 'ENOTFOUND'].forEach((code) => {
    it(`is given up: ${code}`, async (t) => {
      await t.throwsAsync(openRefused(code), { code: 'address_unusable' });
    });
  });
});
