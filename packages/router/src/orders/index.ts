export { OrderTask } from './orderTask.js';
