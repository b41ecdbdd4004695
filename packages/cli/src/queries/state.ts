import { stateSchema } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, describeUnknown, UsageError, withAdminClient } from '../shared/index.js';

/** Returns the value at a path such as `table.revision` or `classes.0.id`. Throws UsageError. */
export function selectPath(root: unknown, path: string): unknown {
  return path.split('.').reduce<unknown>((value, part) => {
    const keys = typeof value === 'object' && value !== null ? Object.keys(value) : [];
    if (keys.includes(part)) return (value as Record<string, unknown>)[part];
    throw new UsageError(describeUnknown('part', part, keys));
  }, root);
}

/** `state`: prints the state of one VM, or a part of it, as JSON. */
export const state: Command = {
  name: 'state',
  operands: 'URL',
  minOperands: 1,
  maxOperands: 1,
  summary: 'print the state of one VM, or a part of it, as JSON',
  example: 'filbertlatch state http://10.0.0.4:8081 --filter table.revision',
  flags: {
    ...adminFlags,
    filter: {
      type: 'string',
      help: 'path of the part to print, such as counters or table.revision',
    },
    json: { ...jsonFlag, help: 'print JSON on one line' },
  },
  run: async ({ operands, flags, output }) => {
    const [url] = operands;
    const whole = await withAdminClient(flags, (client) =>
      client.get(url!, '/admin/state', stateSchema),
    );
    const part = typeof flags.filter === 'string' ? selectPath(whole, flags.filter) : whole;
    output.write(JSON.stringify(part, null, flags.json === true ? 0 : 2));
    return EXIT_OK;
  },
};
