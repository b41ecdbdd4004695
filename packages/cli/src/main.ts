import { RouterError } from '@filbertlatch/router';

import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, type Command, type Output } from './command.js';
import { commands } from './commands/index.js';
import { formatHelp, parseCall } from './parseCall.js';
import { queries } from './queries/index.js';
import { AdminError, describeUnknown, UsageError } from './shared/index.js';

const all: readonly Command[] = [...queries, ...commands];

const standardOutput: Output = {
  write: (text) => process.stdout.write(`${text}\n`),
  fail: (text) => process.stderr.write(`${text}\n`),
};

function formatOverview(): string {
  const width = Math.max(...all.map(({ name, operands }) => `${name} ${operands}`.length));
  const lineOf = ({ name, operands, summary }: Command) =>
    `  ${`${name} ${operands}`.padEnd(width)}  ${summary}`;
  return [
    'filbertlatch COMMAND',
    '',
    'Look',
    ...queries.map(lineOf),
    '',
    'Act',
    ...commands.map(lineOf),
    '',
    'filbertlatch COMMAND --help shows the options and an example.',
  ].join('\n');
}

/** Finds the command of one or two words that the arguments begin with. */
function findCommand(argv: readonly string[]): { command: Command; rest: readonly string[] } {
  for (const words of [2, 1]) {
    const name = argv.slice(0, words).join(' ');
    const command = all.find((known) => known.name === name);
    if (command !== undefined) return { command, rest: argv.slice(words) };
  }
  const names = all.map(({ name }) => name);
  const [first = '', second = ''] = argv;
  const isGroup = names.some((name) => name.startsWith(`${first} `));
  throw new UsageError(describeUnknown('command', isGroup ? `${first} ${second}` : first, names));
}

async function runCommand(
  argv: readonly string[],
  importMeta: ImportMeta,
  output: Output,
): Promise<number> {
  const { command, rest } = findCommand(argv);
  if (rest.includes('--help')) {
    output.write(formatHelp(command));
    return EXIT_OK;
  }
  return command.run(parseCall(command, rest, importMeta, output));
}

/** Runs the command line; resolves with the exit code. */
export async function main(
  importMeta: ImportMeta,
  argv: readonly string[] = process.argv.slice(2),
  output: Output = standardOutput,
): Promise<number> {
  const [first] = argv;
  if (first === undefined || first === '--help' || first === 'help') {
    (first === undefined ? output.fail : output.write)(formatOverview());
    return first === undefined ? EXIT_USAGE : EXIT_OK;
  }
  try {
    return await runCommand(argv, importMeta, output);
  } catch (error) {
    if (error instanceof UsageError || error instanceof RouterError) {
      output.fail(`filbertlatch: ${error.message}`);
      return EXIT_USAGE;
    }
    if (!(error instanceof AdminError)) throw error;
    output.fail(`filbertlatch: ${error.message}`);
    return EXIT_FAILED;
  }
}
