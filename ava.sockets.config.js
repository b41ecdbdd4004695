import common from './ava.config.js';
import { processSpecs } from './ava.processes.config.js';

/** Specs with sockets on the real clock. */
export const socketSpecs = [
  'packages/router/dist/__tests__/**/*.spec.js',
  'packages/cli/dist/__tests__/fleet.spec.js',
  'packages/bench/dist/__tests__/{adminApi,endlessReport,fuzz,keyedRequests,leavingRouter}.spec.js',
  'packages/bench/dist/__tests__/{repeatedRefusals,slowCaller,smuggling,wholePath}.spec.js',
];

/** Few at a time, so that their event loops are on time. */
export default {
  ...common,
  files: [...socketSpecs, ...processSpecs.map((spec) => `!${spec}`)],
  concurrency: 4,
};
