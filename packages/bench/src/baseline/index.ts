export { baselineNames, type BaselineName } from './chooseLane.js';
export { createBaseline, type Baseline } from './createBaseline.js';
