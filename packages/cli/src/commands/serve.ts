import { runDaemon } from '@filbertlatch/daemon';

import type { Command } from '../command.js';

/** Runs the router in this process until a signal. */
export const serve: Command = {
  name: 'serve',
  operands: 'SETTINGS',
  least: 1,
  most: 1,
  summary: 'run the router from a settings file',
  example: 'filbertlatch serve examples/newsroom/settings.json',
  flags: {},
  run: ({ operands }) => runDaemon(operands[0]!),
};
