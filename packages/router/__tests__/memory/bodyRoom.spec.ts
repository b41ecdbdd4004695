import { describe, it } from '@filbertlatch/core/testing';

import { BodyRoom, MemoryAccount, type BodyWaiter, type HeldBody } from '../../src/memory/index.js';

const MEBIBYTE = 1_048_576;

/** Leaves room for 8.5 MiB of large bodies and 1.5 MiB of small ones. */
const LIMIT_BYTES = 12 * MEBIBYTE;

function createRoom() {
  const clock = { time: 0 };
  const changes: string[] = [];
  const account = new MemoryAccount(LIMIT_BYTES);
  const room = new BodyRoom(
    account,
    { now: () => clock.time, listenedMs: (since) => clock.time - since },
    (change) => changes.push(change),
  );
  const granted = new Map<string, HeldBody>();
  const refused: string[] = [];
  const ask = (name: string, terms: Partial<BodyWaiter> = {}): BodyWaiter => {
    const asked: BodyWaiter = {
      ...{ kind: 'request', bytes: 4 * MEBIBYTE, priority: 1, owner: null, giveUpAt: 1000 },
      readBy: 8000,
      ...terms,
      grant: (held) => granted.set(name, held),
      refuse: () => refused.push(name),
    };
    room.ask(asked);
    return asked;
  };
  return { account, ask, changes, clock, granted, refused, room };
}

describe('room for bodies', () => {
  it('is granted while there is some, then by priority, size and arrival', (t) => {
    const { ask, granted, refused } = createRoom();
    ask('first');
    ask('second');
    ask('low', { priority: 2, bytes: 2 * MEBIBYTE });
    ask('large');
    ask('small', { bytes: MEBIBYTE });
    ask('urgent', { priority: 0 });
    t.deepEqual([...granted.keys()], ['first', 'second']);
    granted.get('first')!.release();
    granted.get('second')!.release();
    t.deepEqual([...granted.keys()].slice(2), ['urgent', 'small']);
    granted.get('urgent')!.release();
    t.deepEqual([...granted.keys()].slice(4), ['large', 'low']);
    t.deepEqual(refused, []);
  });

  it('is refused after a time, and to the least urgent and largest when too many wait', (t) => {
    const { ask, changes, clock, refused, room } = createRoom();
    ask('first');
    ask('second');
    ask('low', { priority: 2, bytes: 3 * MEBIBYTE });
    ask('lowest', { priority: 2 });
    for (let index = 0; refused.length === 0; index += 1) ask(`other-${index}`);
    t.deepEqual(refused, ['lowest']);
    ask('further');
    t.deepEqual(refused, ['lowest', 'low']);
    ask('least', { priority: 3 });
    t.deepEqual(refused.slice(2), ['least']);
    clock.time = 1000;
    room.maintain();
    t.is(room.waiting, 0);
    t.deepEqual(changes, ['short']);
    clock.time = 2500;
    room.maintain();
    t.deepEqual(changes, ['short', 'ample']);
  });

  it('for small bodies is apart from that for large ones', (t) => {
    const { ask, granted, room } = createRoom();
    ask('first');
    ask('second');
    ask('third');
    t.false(granted.has('third'));
    const held = Array.from({ length: 24 }, () => room.holdSmall('request', 65_536));
    t.true(held.every((body) => body !== null));
  });

  it('goes to other client accounts first when one has more than its share', (t) => {
    const { ask, granted } = createRoom();
    ask('first', { owner: 'a' });
    ask('second', { owner: 'a' });
    ask('third', { owner: 'a', priority: 0 });
    ask('other', { owner: 'b' });
    granted.get('first')!.release();
    t.true(granted.has('other'));
    t.false(granted.has('third'));
  });

  it('is taken from a body that gets no byte while others wait, and from no other', (t) => {
    const { ask, clock, granted, room } = createRoom();
    const ended: string[] = [];
    ['stalled', 'sent'].forEach((name) => {
      ask(name);
      granted.get(name)!.endReading = () => {
        ended.push(name);
        granted.get(name)!.release();
      };
    });
    clock.time = 2000;
    room.maintain();
    t.deepEqual(ended, []);
    granted.get('sent')!.readAt = 1000;
    ask('waiting', { giveUpAt: 3000 });
    room.maintain();
    t.deepEqual(ended, ['stalled']);
    t.true(granted.has('waiting'));
  });

  it('is taken while others wait from a body that goes on by single bytes beyond its time', (t) => {
    const { ask, clock, granted, room } = createRoom();
    ask('slow', { bytes: 8 * MEBIBYTE });
    granted.get('slow')!.endReading = () => granted.get('slow')!.release();
    clock.time = 7900;
    granted.get('slow')!.readAt = clock.time;
    ask('waiting', { giveUpAt: 8900 });
    room.maintain();
    t.false(granted.has('waiting'));
    clock.time = 8000;
    room.maintain();
    t.true(granted.has('waiting'));
  });

  it('is all given back after thousands of bodies of all fates', (t) => {
    const { account, ask, granted, room } = createRoom();
    for (let index = 0; index < 3000; index += 1) {
      const asked = ask(`${index}`, { bytes: ((index % 7) + 1) * 600_000, giveUpAt: index });
      const held = granted.get(`${index}`);
      if (index % 3 === 0) room.withdraw(asked);
      if (held !== undefined && index % 2 === 0) held.settle(held.bytes / 2, null);
      if (index % 5 === 4) {
        granted.forEach((body) => body.release());
        granted.clear();
      }
    }
    while (granted.size > 0 || room.waiting > 0) {
      room.maintain();
      const bodies = [...granted.values()];
      granted.clear();
      bodies.forEach((body) => body.release());
    }
    t.is(account.heldBytes, 0);
    t.deepEqual(room.listHolders(), []);
  });
});
