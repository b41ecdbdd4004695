import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, withAdminClient } from '../shared/index.js';

/** `drain`: stops one VM without cutting off a request. */
export const drain: Command = {
  name: 'drain',
  operands: 'URL',
  minOperands: 1,
  maxOperands: 1,
  summary: 'stop a VM: finish running requests, accept no new ones',
  example: 'FILBERTLATCH_TOKEN=... filbertlatch drain http://10.0.0.4:8081',
  flags: { ...adminFlags, json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [url] = operands;
    await withAdminClient(flags, (client) => client.post(url!, '/admin/drain'));
    output.write(
      flags.json === true ? JSON.stringify({ url, draining: true }) : `${url} is draining`,
    );
    return EXIT_OK;
  },
};
