import { fork } from 'node:child_process';
import { once } from 'node:events';

const BYTES_PER_KB = 1024;

/** What a player showed, and the most memory that its process had. */
export interface MemoryProbe<Outcome> {
  /** Null when the process ended before the player did. */
  readonly outcome: Outcome | null;
  readonly maxBytes: number;
  /** How the process ended, if it did so by itself. */
  readonly end: number | string | null;
}

/** Runs a player, a module that calls `playMeasured`, in a process with the flags of the deploy file. */
export async function measureMemory<Outcome>(
  player: URL,
  ...values: readonly string[]
): Promise<MemoryProbe<Outcome>> {
  const child = fork(player, values, {
    execArgv: ['--max-old-space-size=64', '--max-semi-space-size=1'],
    stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
  });
  const played = once(child, 'message').then(([probe]) => probe as MemoryProbe<Outcome>);
  const ended = once(child, 'exit').then(([code, signal]) => ({
    outcome: null,
    maxBytes: Number.POSITIVE_INFINITY,
    end: (signal ?? code) as string | number,
  }));
  try {
    return await Promise.race([played, ended]);
  } finally {
    child.kill('SIGKILL');
  }
}

/** Plays in this process, with the values that `measureMemory` got, and tells it the outcome. */
export async function playMeasured<Outcome>(
  play: (...values: readonly string[]) => Promise<Outcome>,
): Promise<void> {
  const outcome = await play(...process.argv.slice(2));
  const maxBytes = process.resourceUsage().maxRSS * BYTES_PER_KB;
  process.send!({ outcome, maxBytes, end: null } satisfies MemoryProbe<Outcome>);
}
