import { EXIT_OK, type Command } from '../command.js';
import { runDemo } from './runDemo.js';

/** `demo`: runs a small fleet on one machine. */
export const demo: Command = {
  name: 'demo',
  operands: '',
  minOperands: 0,
  maxOperands: 0,
  summary: 'run three routers with stand-in endpoints under a mixed load',
  example: 'filbertlatch demo --once',
  flags: {
    once: {
      type: 'boolean',
      default: false,
      help: 'exit after the load instead of waiting for Ctrl-C',
    },
    seed: { type: 'number', default: 1, help: 'seed for arrival times and answer lengths' },
  },
  run: async ({ flags }) => {
    await runDemo({ once: flags.once === true, seed: Number(flags.seed) });
    return EXIT_OK;
  },
};
