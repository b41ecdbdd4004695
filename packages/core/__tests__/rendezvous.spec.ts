import { describe, it } from '@filbertlatch/core/testing';

import { highestRankedMember, isRankedAmong, rankMembers } from '../src/index.js';

const MEMBERS = Array.from({ length: 8 }, (_, index) => ({ id: `vm-${index}` }));
const KEYS = Array.from({ length: 2000 }, (_, index) => `key-${index}`);

describe('rankMembers', () => {
  it('does not depend on the order of the members', (t) => {
    const reversed = [...MEMBERS].reverse();
    for (const key of KEYS) t.deepEqual(rankMembers(key, MEMBERS), rankMembers(key, reversed));
  });

  it('puts the member of highestRankedMember first', (t) => {
    for (const key of KEYS) t.is(rankMembers(key, MEMBERS)[0], highestRankedMember(key, MEMBERS));
  });

  it('puts those of isRankedAmong first', (t) => {
    for (const key of KEYS) {
      const first = rankMembers(key, MEMBERS).slice(0, 4);
      const isAmong = ({ id }: { id: string }) => isRankedAmong(key, id, MEMBERS, 4);
      t.deepEqual(
        MEMBERS.filter((member) => first.includes(member)),
        MEMBERS.filter(isAmong),
      );
    }
  });

  it('moves only the keys of a member that leaves', (t) => {
    const remaining = MEMBERS.slice(1);
    for (const key of KEYS) {
      const before = highestRankedMember(key, MEMBERS);
      if (before !== MEMBERS[0]) t.is(highestRankedMember(key, remaining), before);
    }
  });

  it('ranks each member first for an even share of the keys, within a fifth', (t) => {
    const counts = new Map<string, number>();
    KEYS.forEach((key) => {
      const { id } = highestRankedMember(key, MEMBERS)!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    });
    const evenShare = KEYS.length / MEMBERS.length;
    for (const { id } of MEMBERS) t.true(Math.abs(counts.get(id)! - evenShare) < evenShare / 5, id);
  });

  it('returns nothing when there are no members', (t) => {
    t.is(highestRankedMember('key', []), undefined);
    t.deepEqual(rankMembers('key', []), []);
  });
});
