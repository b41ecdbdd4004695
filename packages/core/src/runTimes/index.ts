export { recordRunTime } from './commands.js';
export { expectedLongestMs } from './queries.js';
export { createRunTimeState, type RunTimeState } from './state.js';
