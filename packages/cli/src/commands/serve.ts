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
  run: ({ operands }) => runDaemon(operands[0]!),
};
