import type { Logger } from 'winston';

import type { Decider } from './decider/index.js';
import { ChangeLog } from './log/index.js';
import { RouterMetrics, type ControlTraffic } from './metrics/index.js';
import { Attainment, DecisionLog, RefusalCounts } from './observation/index.js';

/** The observers that other parts of the router read. */
export interface Observers {
  readonly attainment: Attainment;
  readonly decisions: DecisionLog;
  readonly metrics: RouterMetrics;
}

/**
 * Creates the observers of the decider's messages and actions, which only record, log and measure.
 * `keptDecisions` bounds the decision log; `countOpen` returns the number of open requests.
 */
export function createObservers(
  decider: Decider,
  traffic: ControlTraffic,
  keptDecisions: number,
  countOpen: () => number,
  log: Logger,
): Observers {
  const attainment = new Attainment(decider.core);
  const decisions = new DecisionLog(decider.core, keptDecisions);
  decider.watch((message, actions, now) => attainment.watch(message, actions, now));
  decider.watch((message, actions, now) => decisions.watch(message, actions, now));
  const refusals = new RefusalCounts();
  decider.watch((_message, actions) => refusals.watch(actions));
  const changes = new ChangeLog(decider.core, log);
  decider.watch((message, actions) => changes.watch(message, actions));
  const metrics = new RouterMetrics({ decider, attainment, refusals, traffic, countOpen });
  return { attainment, decisions, metrics };
}
