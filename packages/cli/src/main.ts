import { runDaemon } from '@filbertlatch/daemon';
import meow from 'meow';

import { runDemo } from './demo.js';

const HELP = `
  Usage
    $ filbertlatch COMMAND

  Commands
    serve SETTINGS      run the router from a settings file
    demo [--once]       run three routers with stand-ins under a mixed load

  Examples
    $ filbertlatch serve settings.json
    $ filbertlatch demo --once
`;

/** Runs the command line; resolves with the exit code. */
export async function main(importMeta: ImportMeta): Promise<number> {
  const cli = meow(HELP, {
    importMeta,
    flags: { once: { type: 'boolean', default: false }, seed: { type: 'number', default: 1 } },
    allowUnknownFlags: false,
  });
  const [command, ...operands] = cli.input;
  if (command === 'demo') {
    await runDemo(cli.flags);
    return 0;
  }
  if (command === 'serve' && operands[0] !== undefined) return runDaemon(operands[0]);
  process.stderr.write(`filbertlatch: unknown command ${JSON.stringify(command ?? '')}\n${HELP}`);
  return 2;
}
