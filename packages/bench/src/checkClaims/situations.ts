import { buildList, modelSettings, type Situation } from './world.js';

const base = {
  attempts: 2,
  restarts: 0,
  hasIssueTime: true,
  settings: modelSettings,
  instants: [10, 60],
} as const;

const first = buildList(1, ['a', 'b', 'c']);

// Situations with one list: three VMs, pauses past the window, and a lost memory.
const oneListSituations: readonly Situation[] = [
  {
    ...base,
    name: 'one list, the window passes',
    lists: [first],
    hosts: ['a', 'b'],
    instants: [10, 60, 120, 170, 215],
  },
  {
    ...base,
    name: 'one list, a VM restarts',
    lists: [first],
    hosts: ['a', 'b'],
    restarts: 1,
    instants: [60],
  },
  {
    ...base,
    name: 'one list, a key without an issue time',
    lists: [first],
    hosts: ['a', 'b'],
    hasIssueTime: false,
    instants: [60, 150, 170, 215],
  },
];

// Situations in which the list changes, is skipped, or differs between VMs.
const manyListSituations: readonly Situation[] = [
  {
    ...base,
    name: 'one VM replaced',
    lists: [first, buildList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
  },
  {
    ...base,
    name: 'one VM replaced, a VM restarts',
    lists: [first, buildList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
    restarts: 1,
  },
  {
    ...base,
    name: 'a majority replaced at once',
    lists: [first, buildList(2, ['c', 'd', 'e'])],
    hosts: ['a', 'd'],
  },
  {
    ...base,
    name: 'two VMs replaced one after the other',
    lists: [first, buildList(2, ['b', 'c', 'd']), buildList(3, ['c', 'd', 'e'])],
    hosts: ['a', 'd'],
  },
  {
    ...base,
    name: 'a list that some VMs skip',
    lists: [first, buildList(2, ['b', 'd', 'e']), buildList(3, ['a', 'c', 'f'])],
    hosts: ['d', 'f'],
  },
  {
    ...base,
    name: 'one VM replaced, a key without an issue time',
    lists: [first, buildList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
    hasIssueTime: false,
    instants: [60],
  },
];

/** All situations that are searched. */
export const allSituations: readonly Situation[] = [...oneListSituations, ...manyListSituations];
