import { requestSchema } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, withAdmin } from '../shared/index.js';

/** Tells why a request went where it did, why it waited or why it was shed. */
export const explain: Command = {
  name: 'explain',
  operands: 'URL REQUEST-ID',
  least: 2,
  most: 2,
  summary: 'tell why a request went where it did, waited or was shed',
  example: 'filbertlatch explain http://10.0.0.4:8081 r-vm-1-mx2k9-1f',
  flags: { ...adminFlags, json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [url, id] = operands;
    const path = `/admin/requests/${encodeURIComponent(id!)}`;
    const record = await withAdmin(flags, (client) => client.get(url!, path, requestSchema));
    output.write(flags.json === true ? JSON.stringify(record) : record.explanation.join('\n'));
    return EXIT_OK;
  },
};
