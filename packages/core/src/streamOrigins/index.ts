export { canGoOn, originOf, type StreamOrigin } from './origin.js';
