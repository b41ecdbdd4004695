import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, withAdmin } from '../shared/index.js';

/** Stops one VM without cutting off a request. */
export const drain: Command = {
  name: 'drain',
  operands: 'URL',
  least: 1,
  most: 1,
  summary: 'let a VM finish what runs, take nothing new, and stop',
  example: 'FILBERTLATCH_TOKEN=... filbertlatch drain http://10.0.0.4:8081',
  flags: { ...adminFlags, json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [url] = operands;
    await withAdmin(flags, (client) => client.post(url!, '/admin/drain'));
    output.write(flags.json === true ? JSON.stringify({ url, draining: true }) : `${url} drains`);
    return EXIT_OK;
  },
};
