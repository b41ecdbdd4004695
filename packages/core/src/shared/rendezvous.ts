import { hashText } from './hash.js';

/**
 * Ranks members for a key by rendezvous hashing: the same members give the same order on every VM,
 * and a member that leaves moves only the keys that it was first for.
 */
export function rankMembers<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
): T[] {
  return members
    .map((member) => ({ member, weight: hashText(`${key}\n${member.id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member.id < b.member.id ? -1 : 1))
    .map(({ member }) => member);
}

/** Says whether a member is among the first `count` that `rankMembers` returns, without sorting them. */
export function isRankedAmong(
  key: string,
  id: string,
  members: readonly { readonly id: string }[],
  count: number,
): boolean {
  const weight = hashText(`${key}\n${id}`);
  let higher = 0;
  for (const member of members) {
    const other = member.id === id ? -1 : hashText(`${key}\n${member.id}`);
    if (other > weight || (other === weight && member.id < id)) higher += 1;
    if (higher === count) return false;
  }
  return true;
}

/** Returns the member that `rankMembers` puts first; undefined when there are no members. */
export function highestRankedMember<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
): T | undefined {
  let first: T | undefined;
  let highest = -1;
  for (const member of members) {
    const weight = hashText(`${key}\n${member.id}`);
    const wins = weight > highest || (weight === highest && member.id < (first?.id ?? ''));
    if (wins) {
      first = member;
      highest = weight;
    }
  }
  return first;
}
