import type { ProcessLife } from '@filbertlatch/daemon/processLife';
import { RouterError } from '@filbertlatch/router';

import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, type Command, type Output } from './command.js';
import { commands } from './commands/index.js';
import { formatHelp, parseCall } from './parseCall.js';
import { queries } from './queries/index.js';
import { AdminError, describeUnknown, UsageError } from './shared/index.js';

const allCommands: readonly Command[] = [...queries, ...commands];

const standardOutput: Output = {
  write: (text) => process.stdout.write(`${text}\n`),
  writeError: (text) => process.stderr.write(`${text}\n`),
};

function formatOverview(): string {
  const width = Math.max(...allCommands.map(({ name, operands }) => `${name} ${operands}`.length));
  const formatLine = ({ name, operands, summary }: Command) =>
    `  ${`${name} ${operands}`.padEnd(width)}  ${summary}`;
  return [
    'filbertlatch COMMAND',
    '',
    'Read and compare',
    ...queries.map(formatLine),
    '',
    'Run and change',
    ...commands.map(formatLine),
    '',
    'filbertlatch COMMAND --help shows the options and an example.',
  ].join('\n');
}

/** Finds the command whose name is the first two arguments, or else the first one. Throws UsageError. */
function findCommand(argv: readonly string[]): { command: Command; rest: readonly string[] } {
  for (const words of [2, 1]) {
    const name = argv.slice(0, words).join(' ');
    const command = allCommands.find((known) => known.name === name);
    if (command !== undefined) return { command, rest: argv.slice(words) };
  }
  const names = allCommands.map(({ name }) => name);
  const [first = '', second = ''] = argv;
  const isGroup = names.some((name) => name.startsWith(`${first} `));
  throw new UsageError(describeUnknown('command', isGroup ? `${first} ${second}` : first, names));
}

async function runCommand(
  argv: readonly string[],
  importMeta: ImportMeta,
  output: Output,
  life: ProcessLife | null,
): Promise<number> {
  const { command, rest } = findCommand(argv);
  if (rest.includes('--help')) {
    output.write(formatHelp(command));
    return EXIT_OK;
  }
  return command.run({ ...parseCall(command, rest, importMeta, output), life });
}

/**
 * Runs the command line; resolves with the exit code. Rejects only on unexpected errors. `life` owns
 * the signals of a process that is to serve.
 */
export async function main(
  importMeta: ImportMeta,
  argv: readonly string[] = process.argv.slice(2),
  output: Output = standardOutput,
  life: ProcessLife | null = null,
): Promise<number> {
  const [first] = argv;
  if (first === undefined || first === '--help' || first === 'help') {
    (first === undefined ? output.writeError : output.write)(formatOverview());
    return first === undefined ? EXIT_USAGE : EXIT_OK;
  }
  try {
    return await runCommand(argv, importMeta, output, life);
  } catch (error) {
    if (error instanceof UsageError || error instanceof RouterError) {
      output.writeError(`filbertlatch: ${error.message}`);
      return EXIT_USAGE;
    }
    if (!(error instanceof AdminError)) throw error;
    output.writeError(`filbertlatch: ${error.message}`);
    return EXIT_FAILED;
  }
}
