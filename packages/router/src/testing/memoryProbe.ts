import { fork } from 'node:child_process';
import { on, once } from 'node:events';
import { readFile } from 'node:fs/promises';

const BYTES_PER_KB = 1024;

/** Flags of the runtime in deploy/system.toml that change how much memory a process takes. */
const DEPLOYED_FLAGS = [
  '--max-old-space-size=64',
  '--max-semi-space-size=1',
  '--optimize-for-size',
  '--single-threaded',
];

/** What a player showed, and the most memory that its process had. */
export interface MemoryProbe<Outcome> {
  /** Null when the process ended before the player did. */
  readonly outcome: Outcome | null;
  readonly maxBytes: number;
  /** How the process ended, if it did so by itself. */
  readonly end: number | string | null;
}

/** A player that has been started. */
export interface MeasuredPlay<Outcome, News> {
  /** What the player tells by `tellNews`, once. */
  readonly news: Promise<News>;
  readonly probe: Promise<MemoryProbe<Outcome>>;
}

/** Starts a player, a module that calls `playMeasured`, in a process with the flags of the deploy file. */
export function startMeasured<Outcome, News = never>(
  player: URL,
  ...values: readonly string[]
): MeasuredPlay<Outcome, News> {
  const child = fork(player, values, {
    execArgv: DEPLOYED_FLAGS,
    stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
  });
  const messages = on(child, 'message') as AsyncIterator<[{ news: News } & MemoryProbe<Outcome>]>;
  const read = async () => (await messages.next()).value as [{ news: News } & MemoryProbe<Outcome>];
  const first = read();
  const played = first.then(async ([message]) => ('news' in message ? (await read())[0] : message));
  const ended = once(child, 'exit').then(([code, signal]) => ({
    outcome: null,
    maxBytes: Number.POSITIVE_INFINITY,
    end: (signal ?? code) as string | number,
  }));
  const probe = Promise.race([played, ended]).finally(() => child.kill('SIGKILL'));
  return { news: first.then(([message]) => message.news), probe };
}

/** Runs a player to its end. */
export function measureMemory<Outcome>(
  player: URL,
  ...values: readonly string[]
): Promise<MemoryProbe<Outcome>> {
  return startMeasured<Outcome>(player, ...values).probe;
}

/** Tells the process that has started this player. */
export function tellNews(news: unknown): void {
  process.send!({ news });
}

/** The system's own figure, maxRSS, begins with the memory of the process that forked this one. */
async function readPeakBytes(): Promise<number> {
  const status = await readFile('/proc/self/status', 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KB;
}

/** Plays in this process, with the values that `measureMemory` got, and tells it the outcome. */
export async function playMeasured<Outcome>(
  play: (...values: readonly string[]) => Promise<Outcome>,
): Promise<void> {
  const outcome = await play(...process.argv.slice(2));
  const maxBytes = await readPeakBytes();
  process.send!({ outcome, maxBytes, end: null } satisfies MemoryProbe<Outcome>);
}
