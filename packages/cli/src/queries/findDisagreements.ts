import type { State } from '@filbertlatch/router';

/** What one router answered. */
export interface Asked {
  readonly url: string;
  readonly state: State | null;
  readonly error: string | null;
}

function groupBy(states: readonly State[], keyOf: (state: State) => string | number): string[] {
  const groups = new Map<string | number, string[]>();
  states.forEach((state) => {
    const key = keyOf(state);
    groups.set(key, [...(groups.get(key) ?? []), state.vm]);
  });
  return groups.size < 2 ? [] : [...groups].map(([key, vms]) => `${key} on ${vms.join(', ')}`);
}

function findMissing(states: readonly State[]): string[] {
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

/** Lists what the VMs of a fleet do not agree on. */
export function findDisagreements(asked: readonly Asked[]): string[] {
  const silent = asked.filter(({ state }) => state === null).map(({ error }) => String(error));
  const states = asked.flatMap(({ state }) => (state === null ? [] : [state]));
  const tables = groupBy(states, (state) => state.table.revision);
  const lists = groupBy(states, (state) => state.list.revision);
  const refused = states.flatMap(({ vm, table }) =>
    table.refused === null
      ? []
      : [`${vm} refused table ${table.refused.revision}: ${table.refused.faults.join('; ')}`],
  );
  return [
    ...silent,
    ...(tables.length > 0 ? [`Tables differ: ${tables.join('; ')}.`] : []),
    ...(lists.length > 0 ? [`Lists of VMs differ: ${lists.join('; ')}.`] : []),
    ...refused,
    ...findMissing(states),
  ];
}
