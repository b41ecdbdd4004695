export { faultExperiments } from './plans.js';
