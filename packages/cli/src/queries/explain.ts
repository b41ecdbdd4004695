import { requestSchema } from '@filbertlatch/router';

import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { adminFlags, withAdminClient } from '../shared/index.js';

/** `explain`: prints why a request was placed on its endpoint, waited or was shed. */
export const explain: Command = {
  name: 'explain',
  operands: 'URL REQUEST-ID',
  minOperands: 2,
  maxOperands: 2,
  summary: 'explain why a request was placed where it was, waited or was shed',
  example: 'filbertlatch explain http://10.0.0.4:8081 r-vm-1-mx2k9-1f',
  flags: { ...adminFlags, json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [url, id] = operands;
    const path = `/admin/requests/${encodeURIComponent(id!)}`;
    const record = await withAdminClient(flags, (client) => client.get(url!, path, requestSchema));
    output.write(flags.json === true ? JSON.stringify(record) : record.explanation.join('\n'));
    return EXIT_OK;
  },
};
