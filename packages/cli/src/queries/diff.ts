import { stateSchema, type State } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { diffTables, formatDifference, sumTokenUse } from '../diff/index.js';
import { readJsonFile, readTable, UsageError, withAdminClient } from '../shared/index.js';

async function readState(source: string, flags: Record<string, unknown>): Promise<State> {
  if (/^https?:/.test(source)) {
    return withAdminClient(flags, (client) => client.get(source, '/admin/state', stateSchema));
  }
  const parsed = stateSchema.safeParse(await readJsonFile(source));
  if (parsed.success) return parsed.data;
  throw new UsageError(`${source}: is not the JSON state of a router`);
}

/** `diff`: describes what an edit of the table changes. */
export const diff: Command = {
  name: 'diff',
  operands: 'OLD NEW',
  minOperands: 2,
  maxOperands: 2,
  summary: 'describe what a table edit changes',
  example: 'filbertlatch diff table.json edited.json --state http://10.0.0.4:8081',
  flags: {
    state: {
      type: 'string',
      isMultiple: true,
      help: 'URL or saved state of a router, to warn of limits below current use; repeat for each VM',
    },
    tokenFile: {
      type: 'string',
      help: 'file with the admin API token; default: $FILBERTLATCH_TOKEN',
    },
    json: jsonFlag,
  },
  run: async ({ operands, flags, output }) => {
    const [before, after] = await Promise.all(operands.map(readTable));
    const sources = (flags.state as string[] | undefined) ?? [];
    const states = await Promise.all(sources.map((source) => readState(source, flags)));
    const difference = diffTables(before!, after!, sumTokenUse(states));
    output.write(flags.json === true ? JSON.stringify(difference) : formatDifference(difference));
    return EXIT_OK;
  },
};
