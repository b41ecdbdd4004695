import common from './ava.config.js';

/** Specs that start programs of ours, or fleets, as processes. */
export const processSpecs = [
  'packages/{daemon,soak}/dist/__tests__/**/*.spec.js',
  'platform/dist/__tests__/**/*.spec.js',
  'packages/router/dist/__tests__/gateway/{brittle,ending}Endpoints.spec.js',
  'packages/router/dist/__tests__/gateway/{crashing,disturbed,drawn}Segments.spec.js',
  'packages/router/dist/__tests__/gateway/crashingRequests.spec.js',
  'packages/router/dist/__tests__/endlessReads.spec.js',
  'packages/router/dist/__tests__/gateway/{endlessParts,pipelinedRequests,smallChunks}.spec.js',
];

/** Few at a time, so that the processes have processors of their own. */
export default { ...common, files: processSpecs, concurrency: 3 };
