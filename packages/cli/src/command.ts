import type { ProcessLife } from '@filbertlatch/daemon/processLife';

/** A flag of a command; its key in `Command.flags` is the camelCase form of the option. */
export interface Flag {
  readonly type: 'string' | 'boolean' | 'number';
  /** Text beside the flag in `--help`. */
  readonly help: string;
  readonly default?: string | boolean | number;
  /** Whether the flag may be given several times. */
  readonly isMultiple?: boolean;
}

/** Where a command prints; tests pass one that collects the lines. */
export interface Output {
  /** Writes a line to standard output. */
  write(text: string): void;
  /** Writes a line to standard error: error messages and progress. */
  writeError(text: string): void;
}

/** The parsed arguments of one invocation of a command, and where it prints. */
export interface Call {
  readonly operands: readonly string[];
  /** Values by flag name in camelCase; absent flags are undefined. */
  readonly flags: Readonly<Record<string, unknown>>;
  readonly output: Output;
  /** Owns the signals of a process that is to serve; null in any other, which a signal ends. */
  readonly life: ProcessLife | null;
}

/** One command of the command line. */
export interface Command {
  /** One or two words, such as `table export`. */
  readonly name: string;
  /** The operands as the help shows them, such as `OLD NEW`. */
  readonly operands: string;
  readonly minOperands: number;
  readonly maxOperands: number;
  readonly summary: string;
  readonly example: string;
  readonly flags: Readonly<Record<string, Flag>>;
  /** Resolves with the exit code. */
  run(call: Call): Promise<number>;
}

/** Exit code of a successful command. */
export const EXIT_OK = 0;

/** Exit code when a router does not answer or refuses, or when `status` finds a disagreement. */
export const EXIT_FAILED = 1;

/** Exit code of invalid arguments or invalid input files. */
export const EXIT_USAGE = 2;

/** The `--json` flag, shared by all commands that print a result. */
export const jsonFlag: Flag = { type: 'boolean', help: 'print JSON', default: false };
