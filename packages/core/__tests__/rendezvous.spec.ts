import { describe, it } from '@filbertlatch/core/testing';

import { firstMember, rankMembers } from '../src/index.js';

const MEMBERS = Array.from({ length: 8 }, (_, index) => ({ id: `vm-${index}` }));
const KEYS = Array.from({ length: 2000 }, (_, index) => `key-${index}`);

describe('rankMembers', () => {
  it('does not depend on the order of the members', (t) => {
    const reversed = [...MEMBERS].reverse();
    for (const key of KEYS) t.deepEqual(rankMembers(key, MEMBERS), rankMembers(key, reversed));
  });

  it('agrees with firstMember', (t) => {
    for (const key of KEYS) t.is(rankMembers(key, MEMBERS)[0], firstMember(key, MEMBERS));
  });

  it('moves only the keys of a member that leaves', (t) => {
    const left = MEMBERS.slice(1);
    for (const key of KEYS) {
      const before = firstMember(key, MEMBERS);
      if (before !== MEMBERS[0]) t.is(firstMember(key, left), before);
    }
  });

  it('gives each member its part within a fifth', (t) => {
    const counts = new Map<string, number>();
    KEYS.forEach((key) => {
      const { id } = firstMember(key, MEMBERS)!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    });
    const fair = KEYS.length / MEMBERS.length;
    for (const { id } of MEMBERS) t.true(Math.abs(counts.get(id)! - fair) < fair / 5, id);
  });

  it('has nobody to name among nobody', (t) => {
    t.is(firstMember('key', []), undefined);
    t.deepEqual(rankMembers('key', []), []);
  });
});
