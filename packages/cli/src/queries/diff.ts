import { stateSchema, type State } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { diffTables, formatDifference, sumUse } from '../diff/index.js';
import { readJsonFile, readTable, UsageError, withAdmin } from '../shared/index.js';

async function readState(source: string, flags: Record<string, unknown>): Promise<State> {
  if (/^https?:/.test(source)) {
    return withAdmin(flags, (client) => client.get(source, '/admin/state', stateSchema));
  }
  const parsed = stateSchema.safeParse(await readJsonFile(source));
  if (parsed.success) return parsed.data;
  throw new UsageError(`${source}: is no dump of a router’s state`);
}

/** Says in words what an edit of the table changes. */
export const diff: Command = {
  name: 'diff',
  operands: 'OLD NEW',
  least: 2,
  most: 2,
  summary: 'say in words what a table edit changes',
  example: 'filbertlatch diff table.json edited.json --state http://10.0.0.4:8081',
  flags: {
    state: {
      type: 'string',
      isMultiple: true,
      help: 'dump or address of a router, for limits below present use; one for each VM',
    },
    tokenFile: { type: 'string', help: 'file with the token; else FILBERTLATCH_TOKEN is read' },
    json: jsonFlag,
  },
  run: async ({ operands, flags, output }) => {
    const [before, after] = await Promise.all(operands.map(readTable));
    const sources = (flags.state as string[] | undefined) ?? [];
    const states = await Promise.all(sources.map((source) => readState(source, flags)));
    const difference = diffTables(before!, after!, sumUse(states));
    output.write(flags.json === true ? JSON.stringify(difference) : formatDifference(difference));
    return EXIT_OK;
  },
};
