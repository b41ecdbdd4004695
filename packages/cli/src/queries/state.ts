import { stateSchema } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, describeUnknown, UsageError, withAdmin } from '../shared/index.js';

/** Follows a path such as `table.revision` or `classes.0.id` into a value. */
export function selectPath(root: unknown, path: string): unknown {
  return path.split('.').reduce<unknown>((value, part) => {
    const keys = typeof value === 'object' && value !== null ? Object.keys(value) : [];
    if (keys.includes(part)) return (value as Record<string, unknown>)[part];
    throw new UsageError(describeUnknown('part', part, keys));
  }, root);
}

/** Shows the state of one VM, or a part of it. */
export const state: Command = {
  name: 'state',
  operands: 'URL',
  least: 1,
  most: 1,
  summary: 'show the state of one VM, or a part of it',
  example: 'filbertlatch state http://10.0.0.4:8081 --filter table.revision',
  flags: {
    ...adminFlags,
    filter: { type: 'string', help: 'part to show, such as counters or table.revision' },
    json: { ...jsonFlag, help: 'print JSON on one line' },
  },
  run: async ({ operands, flags, output }) => {
    const [url] = operands;
    const whole = await withAdmin(flags, (client) => client.get(url!, '/admin/state', stateSchema));
    const part = typeof flags.filter === 'string' ? selectPath(whole, flags.filter) : whole;
    output.write(JSON.stringify(part, null, flags.json === true ? 0 : 2));
    return EXIT_OK;
  },
};
