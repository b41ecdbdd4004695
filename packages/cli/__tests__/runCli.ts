import { main } from '../src/main.js';

/** What one call of the command line wrote, and its exit code. */
export interface Ran {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the command line in this process. */
export async function runCli(...argv: string[]): Promise<Ran> {
  const out: string[] = [];
  const err: string[] = [];
  const output = {
    write: (text: string) => {
      out.push(text);
    },
    fail: (text: string) => {
      err.push(text);
    },
  };
  const code = await main(import.meta, argv, output);
  return { code, out: out.join('\n'), err: err.join('\n') };
}
