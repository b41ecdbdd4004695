export { forwardingExperiment } from './forwardingExperiment.js';
