export { renderMetrics } from './renderMetrics.js';
