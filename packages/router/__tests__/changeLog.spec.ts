import { createCore, createRandom, type Message } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import type { Logger } from 'winston';

import { ChangeLog } from '../src/log/index.js';

const START = 1_000_000_000_000;
const vm = { id: 'vm-1', zone: 'z', region: 'r', peerUrl: 'http://127.0.0.1:1', state: 'live' };

function createChangeLog(): { changes: ChangeLog; lines: unknown[][] } {
  const lines: unknown[][] = [];
  const log = { log: (...line: unknown[]) => lines.push(line) } as unknown as Logger;
  const core = createCore(vm as never, createRandom(1), START);
  return { changes: new ChangeLog(core, log), lines };
}

describe('ChangeLog', () => {
  it('logs once that a part of the platform is lost and once that it is back', (t) => {
    const { changes, lines } = createChangeLog();
    const failed: Message = { kind: 'platform-failed', part: 'list' };
    const answered: Message = { kind: 'platform-unchanged', part: 'list' };
    [answered, failed, failed, failed, answered, answered].forEach((message) => {
      changes.watch(message, []);
    });
    t.deepEqual(lines, [
      ['warn', 'platform_lost', { part: 'list' }],
      ['info', 'platform_back', { part: 'list' }],
    ]);
  });

  it('does not treat a manifest from a peer as an answer of the platform', (t) => {
    const { changes, lines } = createChangeLog();
    changes.watch({ kind: 'platform-failed', part: 'configuration' }, []);
    const manifest = { revision: 1, sheets: {} };
    changes.watch({ kind: 'manifest-offered', source: { peer: 'vm-2' }, manifest }, []);
    t.is(lines.length, 1);
    changes.watch({ kind: 'manifest-offered', source: 'service', manifest }, []);
    t.is(lines.length, 2);
  });

  it('logs a drain and how many requests it cut off', (t) => {
    const { changes, lines } = createChangeLog();
    changes.watch({ kind: 'drain-began' }, []);
    const cut = { kind: 'request-ended', requestId: 'r-1', outcome: 'failed' } as const;
    changes.watch({ kind: 'drain-timed-out' }, [cut]);
    changes.watch({ kind: 'drain-timed-out' }, []);
    t.deepEqual(lines, [
      ['info', 'drain_began', { openRequests: 0 }],
      ['warn', 'drain_timed_out', { cutOff: 1 }],
      ['info', 'drained'],
    ]);
  });
});
