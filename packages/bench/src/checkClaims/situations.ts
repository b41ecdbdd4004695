import { buildVmList, modelSettings, type Situation } from './world.js';

const defaults = {
  attempts: 2,
  restarts: 0,
  hasIssueTime: true,
  settings: modelSettings,
  instants: [10, 60],
} as const;

const first = buildVmList(1, ['a', 'b', 'c']);

// One list of three VMs, with pauses past the window or a VM that loses its state in a restart.
const oneListSituations: readonly Situation[] = [
  {
    ...defaults,
    name: 'one list, the window passes',
    lists: [first],
    hosts: ['a', 'b'],
    instants: [10, 60, 120, 170, 215],
  },
  {
    ...defaults,
    name: 'one list, a VM restarts',
    lists: [first],
    hosts: ['a', 'b'],
    restarts: 1,
    instants: [60],
  },
  {
    ...defaults,
    name: 'one list, a key without an issue time',
    lists: [first],
    hosts: ['a', 'b'],
    hasIssueTime: false,
    instants: [60, 150, 170, 215],
  },
];

// Lists that change, that some VMs skip, or that differ between VMs.
const manyListSituations: readonly Situation[] = [
  {
    ...defaults,
    name: 'one VM replaced',
    lists: [first, buildVmList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
  },
  {
    ...defaults,
    name: 'one VM replaced, a VM restarts',
    lists: [first, buildVmList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
    restarts: 1,
  },
  {
    ...defaults,
    name: 'a majority replaced at once',
    lists: [first, buildVmList(2, ['c', 'd', 'e'])],
    hosts: ['a', 'd'],
  },
  {
    ...defaults,
    name: 'two VMs replaced one after the other',
    lists: [first, buildVmList(2, ['b', 'c', 'd']), buildVmList(3, ['c', 'd', 'e'])],
    hosts: ['a', 'd'],
  },
  {
    ...defaults,
    name: 'a list that some VMs skip',
    lists: [first, buildVmList(2, ['b', 'd', 'e']), buildVmList(3, ['a', 'c', 'f'])],
    hosts: ['d', 'f'],
  },
  {
    ...defaults,
    name: 'one VM replaced, a key without an issue time',
    lists: [first, buildVmList(2, ['b', 'c', 'd'])],
    hosts: ['a', 'd'],
    hasIssueTime: false,
    instants: [60],
  },
];

/** All situations that are searched. */
export const allSituations: readonly Situation[] = [...oneListSituations, ...manyListSituations];
