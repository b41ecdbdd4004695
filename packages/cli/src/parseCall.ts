import meow from 'meow';

import type { Call, Command, Output } from './command.js';
import { describeUnknown, UsageError } from './shared/index.js';

function toOptionName(name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function toMeowFlags(command: Command) {
  return Object.fromEntries(
    Object.entries(command.flags).map(([name, flag]) => {
      const { help, isMultiple, ...rest } = flag;
      return [name, isMultiple === true ? { ...rest, isMultiple } : rest];
    }),
  );
}

/** Formats the `--help` text of one command. */
export function formatHelp({ name, operands, summary, example, flags }: Command): string {
  const options = Object.entries(flags).map(([flag, { help, type }]) => {
    const value = type === 'boolean' ? '' : ` ${type.toUpperCase()}`;
    return `  ${`${toOptionName(flag)}${value}`.padEnd(24)}${help}`;
  });
  const lines = [summary, '', 'Usage', `  filbertlatch ${name} ${operands}`.trimEnd()];
  if (options.length > 0) lines.push('', 'Options', ...options);
  lines.push('', 'Example', `  ${example}`);
  return lines.join('\n');
}

/** Parses the arguments after the command name. Throws UsageError. */
export function parseCall(
  command: Command,
  argv: readonly string[],
  importMeta: ImportMeta,
  output: Output,
): Omit<Call, 'life'> {
  const { input, flags, unnormalizedFlags } = meow('', {
    importMeta,
    argv: [...argv],
    flags: toMeowFlags(command) as Record<string, { type: 'string' }>,
    autoHelp: false,
    autoVersion: false,
  });
  const known = Object.keys(command.flags);
  const unknown = Object.keys(unnormalizedFlags).find(
    (name) =>
      !(name in flags && known.includes(name)) && !known.map(toOptionName).includes(`--${name}`),
  );
  if (unknown !== undefined) {
    throw new UsageError(describeUnknown('flag', `--${unknown}`, known.map(toOptionName)));
  }
  if (input.length < command.minOperands || input.length > command.maxOperands) {
    throw new UsageError(`${command.name} takes ${command.operands || 'no operands'}`);
  }
  for (const [name, flag] of Object.entries(command.flags)) {
    const value = (flags as Record<string, unknown>)[name];
    if (flag.type === 'number' && value !== undefined && Number.isNaN(value)) {
      throw new UsageError(`${toOptionName(name)} takes a number`);
    }
  }
  return { operands: input, flags, output };
}
