export { ProcessLife } from './processLife.js';
export { runDaemon } from './runDaemon.js';
