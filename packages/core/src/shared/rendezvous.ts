import { hashText } from './hash.js';

/**
 * Orders members by rendezvous hashing for a key: every VM with the same members gets the
 * same order, and a member that leaves moves only what was its own.
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

/** Returns the first member by rendezvous hashing; undefined when there is none. */
export function firstMember<T extends { readonly id: string }>(
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
