export { drawChart, type Chart, type Series } from './chart.js';
export { plotRun } from './plotRun.js';
