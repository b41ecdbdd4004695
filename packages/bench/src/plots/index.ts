export { drawChart, type Chart, type Series } from './chart.js';
export { plotRun } from './plotRun.js';
export { isSweep, plotSweep } from './plotSweep.js';
