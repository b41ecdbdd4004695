export { runDaemon } from './runDaemon.js';
