import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { listenOnLastingPort } from '#standins';

import { drawSchedule, type ScheduledAction } from '../src/schedule.js';
import { heldPorts, stressKinds, type StressKind } from '../src/stress/draw.js';
import { takePort } from '../src/stress/heldPort.js';

const draw = (kind: StressKind) => drawSchedule(5, { trouble: [kind], vms: 3, seconds: 300 });

describe('drawStress', () => {
  stressKinds.forEach((kind) => {
    it(`plays ${kind}, the same for the same seed, with changes beside it`, (t) => {
      const actions = draw(kind);
      t.deepEqual(actions, draw(kind));
      const own = actions.filter((action) => action.kind === kind);
      t.true(own.length > 50);
      if (kind !== 'endless') {
        t.deepEqual(
          [...new Set(own.map((action) => 'vm' in action && action.vm))].sort(),
          [0, 1, 2],
        );
      }
      t.true(actions.some((action) => action.kind === 'configure'));
    });
  });

  it('sends no signal to a VM that a held port keeps from starting, for its start would end by it', (t) => {
    t.false(draw('held').some(({ kind }) => kind === 'signal'));
  });

  it('holds each port for 0.3 to 2 s', (t) => {
    const isHeld = (action: ScheduledAction) => action.kind === 'held';
    const held = draw('held').filter(isHeld);
    t.deepEqual([...new Set(held.map(({ port }) => port))].sort(), [...heldPorts].sort());
    t.true(held.every(({ forMs }) => forMs >= 300 && forMs <= 2000));
  });
});

describe('takePort', () => {
  const createGateway = async () => {
    const server = createServer();
    const address = await listenOnLastingPort(server);
    server.close();
    await once(server, 'close');
    return { listen: { front: address, ready: address, control: address } };
  };

  it('keeps others from listening until it is freed', async (t) => {
    const gateway = await createGateway();
    const free = await takePort(gateway, 'front');
    await t.throwsAsync(takePort(gateway, 'ready'), { code: 'EADDRINUSE' });
    free();
    (await takePort(gateway, 'control'))();
  });

  it('takes the port of datagrams beside that of connections', async (t) => {
    const gateway = await createGateway();
    const free = await takePort(gateway, 'datagrams');
    const [host, port] = gateway.listen.control.split(':');
    const socket = createSocket('udp4');
    socket.bind(Number(port), host);
    const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
    t.is(error.code, 'EADDRINUSE');
    free();
    (await takePort(gateway, 'control'))();
  });
});
