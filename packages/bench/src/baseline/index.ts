export { baselineNames, type BaselineName } from './endpointChooser.js';
export { createBaseline, type Baseline } from './createBaseline.js';
