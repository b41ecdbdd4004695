import { stateSchema, type State } from '@filbertlatch/router';

import { EXIT_FAILED, EXIT_OK, jsonFlag, type Command } from '../command.js';
import { AdminError, adminFlags, formatTable, withAdminClient } from '../shared/index.js';
import { findDisagreements, type RouterAnswer } from './findDisagreements.js';

const MS_PER_SECOND = 1000;

function formatAge(ageMs: number | null): string {
  return ageMs === null ? 'never' : `${(ageMs / MS_PER_SECOND).toFixed(1)} s`;
}

function rowOf({ url, state, error }: RouterAnswer): (string | number)[] {
  if (state === null) return [url, '', '', '', '', '', '', error ?? ''];
  const { table, list } = state;
  const inUse = state.endpoints.reduce((sum, endpoint) => sum + endpoint.inFlight, 0);
  return [
    url,
    state.vm,
    table.revision,
    formatAge(table.ageMs),
    list.revision,
    formatAge(list.ageMs),
    `${state.openRequests} open, ${inUse} at endpoints`,
    state.leaving ? 'leaving' : 'live',
  ];
}

function formatStatus(asked: readonly RouterAnswer[], disagreements: readonly string[]): string {
  const head = ['admin API', 'VM', 'table', 'table age', 'list', 'list age', 'requests', 'state'];
  const found = disagreements.length === 0 ? ['All agree.'] : disagreements;
  return [formatTable(head, asked.map(rowOf)), ...found].join('\n');
}

function summarize({ url, state, error }: RouterAnswer) {
  if (state === null) return { url, error };
  const { vm, table, list, leaving, openRequests } = state;
  return { url, vm, table, list, leaving, openRequests };
}

/** `status`: compares the VMs of a fleet; exit code 1 when they disagree or one does not answer. */
export const status: Command = {
  name: 'status',
  operands: 'URL...',
  minOperands: 1,
  maxOperands: 1000,
  summary: 'compare VMs: table and list revisions, their ages, members',
  example: 'filbertlatch status http://10.0.0.4:8081 http://10.0.0.5:8081',
  flags: { ...adminFlags, json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const answers = await withAdminClient(flags, (client) => {
      const ask = async (url: string): Promise<RouterAnswer> => {
        try {
          const state: State = await client.get(url, '/admin/state', stateSchema);
          return { url, state, error: null };
        } catch (error) {
          if (!(error instanceof AdminError)) throw error;
          return { url, state: null, error: error.message };
        }
      };
      return Promise.all(operands.map(ask));
    });
    const disagreements = findDisagreements(answers);
    const vms = answers.map(summarize);
    const isJson = flags.json === true;
    output.write(
      isJson ? JSON.stringify({ vms, disagreements }) : formatStatus(answers, disagreements),
    );
    return disagreements.length === 0 ? EXIT_OK : EXIT_FAILED;
  },
};
