export { createRouter, type Router } from './createRouter.js';
export {
  accountsSchema,
  checkSchema,
  classesSchema,
  createOpenApi,
  endpointsSchema,
  membersSchema,
  requestSchema,
  stateSchema,
  tableInForceSchema,
  type ClassReport,
  type State,
} from './admin/index.js';
export { now } from './clock.js';
export { listen, type Listener } from './listen.js';
export { createLog } from './log/index.js';
export {
  createHistogram,
  readPercentiles,
  recordMs,
  type Percentiles,
} from './observation/index.js';
export { digestSheet } from './platform/index.js';
export {
  PeerError,
  PlatformError,
  RouterError,
  SettingsError,
  type RouterErrorCode,
} from './errors/index.js';
export {
  END_OF_STREAM,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
  TIMEOUT_HEADER,
  type Chunk,
} from './endpoints/index.js';
export {
  loadSettings,
  parseSettings,
  settingsSchema,
  type Settings,
  type SettingsInput,
} from './settings/index.js';
