export { createBalancer, type Balancer, type BalancedEntry } from './balancer.js';
export type { ClassFigures } from './classFigures.js';
export {
  createFleet,
  apiKeyOf,
  OPERATOR_TOKEN,
  type Entry,
  type Fleet,
  type Policy,
} from './createFleet.js';
export {
  findExperiment,
  listExperiments,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from './experiments/index.js';
export { formatRun, formatSummary, formatTargets } from './formatSummary.js';
export { drawArrivals, generateLoad } from './generateLoad.js';
export { listScenarios, loadScenario } from './loadScenario.js';
export { drawChart, type Chart } from './plots/index.js';
export { runScenario, type Run } from './runScenario.js';
export { applyVariant, scenarioSchema, type Fault, type Load, type Scenario } from './scenario.js';
export { sendRequest, type DrawnRequest, type Sample } from './sendRequest.js';
export { findLeastShares, type LeastShare } from './findLeastShares.js';
export { summarize, type Summary } from './summarize.js';
export { checkTargets, type Figures, type Target, type TargetResult } from './targets.js';
