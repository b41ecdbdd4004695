import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { call } from './fixtures.js';
import { blockLoop } from './threadedEndpoint.js';
import { withThreadedEndpoints } from './threadedVm.js';

/** Makes the next connection of this thread open after a time in which the loop is blocked. */
function delayNextConnection(blockedMs: number): void {
  const { connect } = Socket.prototype;
  Socket.prototype.connect = function delayed(this: Socket, ...parameters: unknown[]) {
    Socket.prototype.connect = connect;
    setImmediate(() => {
      blockLoop(blockedMs);
      Reflect.apply(connect, this, parameters);
    });
    return this;
  };
}

describe('the check of an endpoint whose answer ended with its connection', () => {
  it('is not given up when the process stands still while it connects', (t) =>
    withThreadedEndpoints([{ answer: 'unframed', healthId: 'another' }], async (vm) => {
      let connections = 0;
      const handleConnect = () => {
        connections += 1;
        // The first connection is that of the request.
        if (connections === 2) delayNextConnection(200);
      };
      subscribe('undici:client:beforeConnect', handleConnect);
      const { status } = await call(vm.callers, '/plain/');
      unsubscribe('undici:client:beforeConnect', handleConnect);
      t.is(status, 502);
    }));
});
