/** A flag of a command. */
export interface Flag {
  readonly type: 'string' | 'boolean' | 'number';
  readonly help: string;
  readonly default?: string | boolean | number;
  /** True: it may be given several times. */
  readonly isMultiple?: boolean;
}

/** Where a command writes; tests read it back. */
export interface Output {
  write(text: string): void;
  fail(text: string): void;
}

/** One call of a command. */
export interface Call {
  readonly operands: readonly string[];
  readonly flags: Readonly<Record<string, unknown>>;
  readonly output: Output;
}

/** One command of the command line. */
export interface Command {
  readonly name: string;
  /** How its operands are written in the help, such as `OLD NEW`. */
  readonly operands: string;
  readonly least: number;
  readonly most: number;
  readonly summary: string;
  readonly example: string;
  readonly flags: Readonly<Record<string, Flag>>;
  /** Resolves with the exit code. */
  run(call: Call): Promise<number>;
}

/** Exit code of a call that did what was asked. */
export const EXIT_OK = 0;

/** Exit code of a call that could not do it, or found what it was to look for. */
export const EXIT_FAILED = 1;

/** Exit code of a call that cannot be understood, or of input that cannot be used. */
export const EXIT_USAGE = 2;

/** The flag of each command that prints. */
export const jsonFlag: Flag = { type: 'boolean', help: 'print JSON', default: false };
