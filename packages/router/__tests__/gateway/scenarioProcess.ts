import { fork } from 'node:child_process';
import { once } from 'node:events';
import { monitorEventLoopDelay } from 'node:perf_hooks';

const NS_PER_MS = 1e6;

/** What a scenario showed, and how late the event loop was on which it was played. */
export interface PlayedScenario<Outcome> {
  readonly outcome: Outcome;
  /** Delay of the loop in 99 of 100 measurements, in milliseconds. */
  readonly loopDelayMs: number;
}

/**
 * Plays a scenario in a process of its own. On a common event loop fleets make each other late, and
 * their VMs and endpoints then see silence where there is none.
 */
export async function playInProcess<Scenario extends object, Outcome>(
  player: URL,
  scenario: Scenario,
): Promise<PlayedScenario<Outcome>> {
  const child = fork(player, { serialization: 'advanced' });
  child.send(scenario);
  const played = once(child, 'message') as Promise<[PlayedScenario<Outcome>]>;
  const ended = once(child, 'exit').then(([code]) => {
    throw new Error(`the process of a scenario ended with ${String(code)}`);
  });
  try {
    return (await Promise.race([played, ended]))[0];
  } finally {
    ended.catch(() => {
      // It is ended below.
    });
    child.kill();
  }
}

/** Plays the scenario that this process gets and reports what it showed. */
export function playHere<Scenario, Outcome>(play: (scenario: Scenario) => Promise<Outcome>): void {
  process.once('message', (scenario) => {
    const delays = monitorEventLoopDelay();
    delays.enable();
    void play(scenario as Scenario).then((outcome) => {
      const loopDelayMs = Math.round(delays.percentile(99) / NS_PER_MS);
      process.send!({ outcome, loopDelayMs } satisfies PlayedScenario<Outcome>);
    });
  });
}
