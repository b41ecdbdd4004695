export { Attainment, ATTAINMENT_WINDOW_MS } from './attainment.js';
export type { ClassCounts, ClassFigures } from './classFigures.js';
export { DecisionLog } from './decisionLog.js';
export type { Candidate, DecisionRecord, DecisionStep } from './decisionRecord.js';
export { explainRecord } from './explainRecord.js';
export { createHistogram, readPercentiles, recordMs, type Percentiles } from './latencies.js';
export { RefusalCounts, type RefusalCount } from './refusalCounts.js';
export { SlidingWindow } from './slidingWindow.js';
