import * as fc from 'fast-check';

import {
  addToBacklog,
  createBacklog,
  removeFromBacklog,
  takeFromBacklog,
  takeOverdue,
  type Backlog,
  type BacklogEntry,
} from '../src/index.js';
import { describe, it } from '../src/testing/index.js';

const START = 1_000_000;

const FAR = START + 3_600_000;

interface Named extends BacklogEntry {
  readonly name: string;
}

function createEntry(name: string, changes: Partial<BacklogEntry> = {}): Named {
  const nothing = () => {};
  const entry = { priority: 1, accountId: null, bytes: 0, beginBy: FAR, isLate: false };
  return { name, ...entry, begin: nothing, refuse: nothing, ...changes };
}

function takeAll(backlog: Backlog): string[] {
  const names: string[] = [];
  for (;;) {
    const taken = takeFromBacklog(backlog, START) as Named | undefined;
    if (taken === undefined) return names;
    names.push(taken.name);
  }
}

describe('requests that are read and not begun', () => {
  it('begin by priority, then by the time by which they must', (t) => {
    const backlog = createBacklog();
    addToBacklog(backlog, createEntry('later', { beginBy: FAR + 1 }), START);
    addToBacklog(backlog, createEntry('sooner'), START);
    addToBacklog(backlog, createEntry('urgent', { priority: 0, beginBy: FAR + 2 }), START);
    t.deepEqual(takeAll(backlog), ['urgent', 'sooner', 'later']);
  });

  it('begin after others of their priority when they were read too late for their target', (t) => {
    const backlog = createBacklog();
    addToBacklog(backlog, createEntry('late', { isLate: true, beginBy: FAR - 1 }), START);
    addToBacklog(backlog, createEntry('on time'), START);
    addToBacklog(backlog, createEntry('less urgent', { priority: 2 }), START);
    t.deepEqual(takeAll(backlog), ['on time', 'late', 'less urgent']);
  });

  it('of a flood of one account do not hold up those of another', (t) => {
    const backlog = createBacklog();
    const flood = { accountId: 'flood' };
    for (let i = 0; i < 20; i += 1) addToBacklog(backlog, createEntry(`f${i}`, flood), START);
    const calm = { accountId: 'calm' };
    for (let i = 0; i < 3; i += 1) addToBacklog(backlog, createEntry(`c${i}`, calm), START);
    const names = takeAll(backlog);
    t.true(names.indexOf('c2') <= 6, names.join());
  });

  it('are refused when they cannot begin in time, those of other accounts are not', (t) => {
    const backlog = createBacklog();
    addToBacklog(backlog, createEntry('first', { accountId: 'flood' }), START);
    backlog.meanIntervalMs = 10;
    const add = (accountId: string) => {
      const entry = createEntry('x', { accountId, beginBy: START + 100 });
      return addToBacklog(backlog, entry, START);
    };
    const flood = Array.from({ length: 30 }, () => add('flood'));
    t.is(flood.filter(Boolean).length, 6);
    t.true(add('calm'));
  });

  it('are taken out once it is too late to begin them', (t) => {
    const backlog = createBacklog();
    addToBacklog(backlog, createEntry('late', { beginBy: START + 10 }), START);
    addToBacklog(backlog, createEntry('sound'), START);
    const overdue = takeOverdue(backlog, START + 11) as Named[];
    t.deepEqual(
      overdue.map(({ name }) => name),
      ['late'],
    );
    t.deepEqual(takeAll(backlog), ['sound']);
  });

  it('are bounded in number and size', (t) => {
    const backlog = createBacklog();
    backlog.meanIntervalMs = 0;
    const added = Array.from({ length: 3000 }, () =>
      addToBacklog(backlog, createEntry('x'), START),
    );
    t.is(added.filter(Boolean).length, 1024);
    const large = createBacklog();
    const megabytes = { bytes: 4_194_304 };
    const sizes = Array.from({ length: 9 }, () =>
      addToBacklog(large, createEntry('x', megabytes), START),
    );
    t.is(sizes.filter(Boolean).length, 4);
  });

  it('leave nothing behind, in any order of arrivals, ends and begins', (t) => {
    const step = fc.record({
      kind: fc.constantFrom('add', 'take', 'leave', 'expire'),
      priority: fc.integer({ min: 0, max: 3 }),
      isLate: fc.boolean(),
      account: fc.integer({ min: 0, max: 4 }),
      ms: fc.integer({ min: 0, max: 50 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const backlog = createBacklog();
        let waiting: BacklogEntry[] = [];
        let instant = START;
        const drop = (entry: BacklogEntry | undefined) => {
          waiting = waiting.filter((other) => other !== entry);
        };
        steps.forEach(({ kind, priority, isLate, account, ms }) => {
          instant += ms;
          if (kind === 'take') drop(takeFromBacklog(backlog, instant));
          if (kind === 'expire') takeOverdue(backlog, instant).forEach(drop);
          if (kind === 'leave' && waiting.length > 0) {
            const entry = waiting[account % waiting.length]!;
            if (!removeFromBacklog(backlog, entry)) throw new Error('not found');
            drop(entry);
          }
          if (kind !== 'add') return;
          const beginBy = instant + 200;
          const changes = { priority, isLate, accountId: `${account}`, bytes: ms, beginBy };
          const entry = createEntry('x', changes);
          if (addToBacklog(backlog, entry, instant)) waiting.push(entry);
        });
        const bytes = waiting.reduce((sum, entry) => sum + entry.bytes, 0);
        if (backlog.size !== waiting.length || backlog.bytes !== bytes) return false;
        takeAll(backlog);
        return backlog.size === 0 && backlog.bytes === 0 && backlog.ranks.size === 0;
      }),
      { seed: 36, numRuns: 300 },
    );
    t.pass();
  });
});
