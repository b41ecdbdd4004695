// Addresses that are found free are let go before a process listens on them: another process, or another play
// of the same one, must not find them too.
import { spawn } from 'node:child_process';
import { once } from 'node:events';

import { describe, it } from '@filbertlatch/core/testing';

const PROCESSES = 4;
const PLAYS = 2;
const ADDRESSES_PER_PLAY = 100;

const portsUrl = new URL('../../../../platform/soak/standins/ports.js', import.meta.url);

const program = `
  import { findFreeAddresses } from '${portsUrl.href}';
  const plays = Array.from({ length: ${PLAYS} }, () => findFreeAddresses(${ADDRESSES_PER_PLAY}));
  console.log(JSON.stringify((await Promise.all(plays)).flat()));
  process.stdin.resume();
`;

describe('free addresses of processes that run at once', () => {
  it('are found by one of them, once', async (t) => {
    const children = Array.from({ length: PROCESSES }, () =>
      spawn(process.execPath, ['--input-type=module', '--eval', program], {
        stdio: ['pipe', 'pipe', 'inherit'],
      }),
    );
    const lists = await Promise.all(
      children.map(async ({ stdout }) => {
        let text = '';
        stdout.setEncoding('utf8');
        stdout.on('data', (chunk: string) => {
          text += chunk;
        });
        while (!text.endsWith('\n')) await once(stdout, 'data');
        return JSON.parse(text) as string[];
      }),
    );
    children.forEach((child) => child.stdin.end());
    const addresses = lists.flat();
    t.is(addresses.length, PROCESSES * PLAYS * ADDRESSES_PER_PLAY);
    t.is(new Set(addresses).size, addresses.length);
  });
});
