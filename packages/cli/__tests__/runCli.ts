import { main } from '../src/main.js';

/** Output and exit code of one invocation of the command line. */
export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the command line in this process and collects its output. */
export async function runCli(...argv: string[]): Promise<CliResult> {
  const out: string[] = [];
  const err: string[] = [];
  const output = {
    write: (text: string) => {
      out.push(text);
    },
    writeError: (text: string) => {
      err.push(text);
    },
  };
  const code = await main(import.meta, argv, output);
  return { code, out: out.join('\n'), err: err.join('\n') };
}
