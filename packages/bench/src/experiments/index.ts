export type { Experiment, ExperimentOptions, ExperimentResult } from './experiment.js';
export { findExperiment, listExperiments, nearestName } from './findExperiment.js';
