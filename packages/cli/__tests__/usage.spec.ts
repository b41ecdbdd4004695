import { describe, it } from '@filbertlatch/core/testing';

import { commands } from '../src/commands/index.js';
import { queries } from '../src/queries/index.js';
import { runCli } from './runCli.js';

const all = [...queries, ...commands];

const refused: readonly (readonly [string, readonly string[], RegExp])[] = [
  ['a misspelt command', ['chek', 'x'], /unknown command "chek"; did you mean "check"\?/],
  ['a misspelt second word', ['table', 'exprot'], /did you mean "table export"\?/],
  ['a misspelt flag', ['check', 'x', '--jsn'], /unknown flag "--jsn"; did you mean "--json"\?/],
  [
    'an unknown flag that resembles none',
    ['check', 'x', '--qqqqqqqq'],
    /unknown flag "--qqqqqqqq"$/,
  ],
  ['too few operands', ['diff', 'x'], /diff takes OLD NEW/],
  ['too many operands', ['check', 'x', 'y'], /check takes FILE/],
  ['a value that is not a number', ['demo', '--seed', 'many'], /--seed takes a number/],
  ['a file that does not exist', ['check', 'no-such-file'], /no-such-file: cannot be read/],
  [
    'a token file that does not exist',
    ['state', 'nowhere', '--token-file', 'none'],
    /none: cannot be read/,
  ],
];

describe('the command line', () => {
  all.forEach((command) => {
    it(`has help with an example for ${command.name}`, async (t) => {
      const { code, out } = await runCli(...command.name.split(' '), '--help');
      t.is(code, 0);
      t.true(out.includes(`filbertlatch ${command.name}`));
      t.true(command.example.includes(`filbertlatch ${command.name}`), command.example);
      Object.keys(command.flags).forEach((flag) => {
        const option = flag.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
        t.true(out.includes(`--${option}`), option);
      });
    });
  });

  refused.forEach(([title, argv, message]) => {
    it(`refuses ${title} with exit code 2`, async (t) => {
      const { code, err } = await runCli(...argv);
      t.is(code, 2);
      t.regex(err, message);
    });
  });

  it('lists all commands and exits with code 2 when called without arguments', async (t) => {
    const { code, err } = await runCli();
    t.is(code, 2);
    all.forEach(({ name }) => t.true(err.includes(name), name));
  });
});
