export { ControlTraffic, type ControlPart, type TrafficCount } from './controlTraffic.js';
export { RouterMetrics, type MetricsContext } from './routerMetrics.js';
