export { createAdminApi, type AdminContext } from './adminApi.js';
export { dumpState } from './dumpState.js';
