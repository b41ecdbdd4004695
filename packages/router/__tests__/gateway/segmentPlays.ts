import type { ExecutionContext } from 'ava';

import { playInProcess } from './scenarioProcess.js';
import type { SegmentOutcome } from './segmentFleet.js';
import type { SegmentScenario } from './segmentScenario.js';
import { createTaskLimit } from './taskLimit.js';

/** Scenarios of a file that are played at the same time; each takes part of a core. */
const SCENARIOS_AT_ONCE = 3;

const player = new URL('segmentPlayer.js', import.meta.url);

const runTask = createTaskLimit(SCENARIOS_AT_ONCE);

/** Plays a scenario in a process of its own and logs how late its event loop was. */
export async function playSegments(
  t: ExecutionContext,
  scenario: SegmentScenario,
): Promise<SegmentOutcome> {
  const { outcome, loopDelayMs } = await runTask(() =>
    playInProcess<SegmentScenario, SegmentOutcome>(player, scenario),
  );
  t.log(`seed ${scenario.seed}: loop delay ${loopDelayMs} ms`);
  return outcome;
}
