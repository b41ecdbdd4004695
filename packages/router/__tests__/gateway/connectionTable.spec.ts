import { describe, it } from '@filbertlatch/core/testing';

import { now } from '../../src/clock.js';
import { ConnectionTable } from '../../src/gateway/connectionTable.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { blockLoop } from './threadedEndpoint.js';

const endpoint = {
  id: 'e1',
  serviceId: 'desk',
  address: '127.0.0.1:5',
  zone: 'zone-a',
  slots: 6,
  state: 'ready',
  startedAt: null,
  version: null,
} as const;

describe('bytes that are read after a standstill of the process', () => {
  it('do not show that their endpoint lives after its begin', (t) => {
    const loopDelay = new LoopDelay();
    const table = new ConnectionTable(() => loopDelay.earliestArrivalAt);
    const connections = table.getConnections(endpoint, 64, 1);
    const beganAt = now();
    blockLoop(600);
    connections.markHeard();
    t.true(table.lastHeardAt('e1') >= beganAt + 600);
    t.true(table.lastAliveAt('e1') <= beganAt);
    connections.close();
  });
});
