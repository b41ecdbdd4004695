import { EXIT_OK, type Command } from '../command.js';
import { runDemo } from './demo.js';

/** Shows the whole system on one machine. */
export const demo: Command = {
  name: 'demo',
  operands: '',
  least: 0,
  most: 0,
  summary: 'run three routers with stand-ins under a mixed load',
  example: 'filbertlatch demo --once',
  flags: {
    once: { type: 'boolean', default: false, help: 'stop after the load' },
    seed: { type: 'number', default: 1, help: 'seed of arrivals and lengths' },
  },
  run: async ({ flags }) => {
    await runDemo({ once: flags.once === true, seed: Number(flags.seed) });
    return EXIT_OK;
  },
};
