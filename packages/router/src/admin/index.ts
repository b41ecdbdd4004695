export { createAdminApi } from './adminApi.js';
export type { AdminContext } from './adminContext.js';
export { dumpState } from './dumpState.js';
export { createOpenApi } from './openApi.js';
export type { AdminTokens, Role } from './roles.js';
export {
  accountsSchema,
  checkSchema,
  classesSchema,
  endpointsSchema,
  membersSchema,
  requestSchema,
  stateSchema,
  tableSchema as tableInForceSchema,
  type ClassReport,
  type State,
} from './schemas.js';
