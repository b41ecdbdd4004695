import { runDaemon } from '@filbertlatch/daemon';

import type { Command } from '../command.js';

/** `serve`: runs the router in this process until a signal. */
export const serve: Command = {
  name: 'serve',
  operands: 'SETTINGS',
  minOperands: 1,
  maxOperands: 1,
  summary: 'run the router from a settings file',
  example: 'filbertlatch serve examples/newsroom/settings.json',
  flags: {},
  run: async ({ operands, life }) => {
    const exitCode = await runDaemon(operands[0]!, life ?? undefined);
    // A process that ends by itself takes its signal handlers away before it has ended.
    // eslint-disable-next-line n/no-process-exit -- a signal would be its end
    process.exit(exitCode);
  },
};
