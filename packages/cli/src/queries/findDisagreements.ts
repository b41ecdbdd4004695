import type { State } from '@filbertlatch/router';

/** The answer of one router to `status`: its state, or the error when it gave none. */
export interface RouterAnswer {
  readonly url: string;
  readonly state: State | null;
  readonly error: string | null;
}

/** Lists the VMs by a value of their states; empty when the value is the same on all. */
function describeGroups(
  states: readonly State[],
  keyOf: (state: State) => string | number,
): string[] {
  const groups = new Map<string | number, string[]>();
  states.forEach((state) => {
    const key = keyOf(state);
    groups.set(key, [...(groups.get(key) ?? []), state.vm]);
  });
  return groups.size < 2 ? [] : [...groups].map(([key, vms]) => `${key} on ${vms.join(', ')}`);
}

/** Compares the VMs that answered with the newest list of VMs. */
function findMembershipDifferences(states: readonly State[]): string[] {
  const answered = new Set(states.map((state) => state.vm));
  const newest = [...states].sort((a, b) => b.list.revision - a.list.revision)[0];
  const listed = new Set((newest?.list.vms ?? []).map((vm) => vm.id));
  const unasked = [...listed].filter((id) => !answered.has(id));
  const unlisted = [...answered].filter((id) => !listed.has(id));
  return [
    ...unasked.map((id) => `${id} is in the list of VMs but was not asked.`),
    ...unlisted.map((id) => `${id} answers but is not in the list of VMs.`),
  ];
}

/** Lists missing answers and differences between VMs, one sentence each; empty when all agree. */
export function findDisagreements(answers: readonly RouterAnswer[]): string[] {
  const unanswered = answers
    .filter(({ state }) => state === null)
    .map(({ error }) => String(error));
  const states = answers.flatMap(({ state }) => (state === null ? [] : [state]));
  const tables = describeGroups(states, (state) => state.table.revision);
  const lists = describeGroups(states, (state) => state.list.revision);
  const refused = states.flatMap(({ vm, table }) =>
    table.refused === null
      ? []
      : [`${vm} refused table ${table.refused.revision}: ${table.refused.faults.join('; ')}`],
  );
  return [
    ...unanswered,
    ...(tables.length > 0 ? [`Tables differ: ${tables.join('; ')}.`] : []),
    ...(lists.length > 0 ? [`Lists of VMs differ: ${lists.join('; ')}.`] : []),
    ...refused,
    ...findMembershipDifferences(states),
  ];
}
