/* eslint-disable import-x/no-relative-packages -- the review's stand-ins are no package */
export { drawAttemptId, sendAttempt } from '../../platform/soak/standins/client.js';
export {
  createConfiguration,
  createRoute,
  DESK,
  ENGINES,
  HOST,
} from '../../review/lib/configuration.js';
export { Fleet } from '../../platform/soak/standins/gateways.js';
export { listenOnLastingPort } from '../../platform/soak/standins/ports.js';
export { Store } from '../../platform/soak/standins/store.js';
export {
  CONFIGURATION_KEY,
  formatAccount,
  formatCallHeaders,
  formatTarget,
  ID_HEADER,
} from '../../platform/soak/wire.js';

/** Program of one endpoint, which is forked. */
export const RUNNER_URL = new URL('../../platform/soak/standins/runner.js', import.meta.url);

/** Module that a VM's process loads so that its connections go by the proxy of the links. */
export const OWN_HOST_URL = new URL('../../platform/soak/standins/ownHost.cjs', import.meta.url);

/** Root of the repository, where the deploy file's program is built. */
export const ROOT_URL = new URL('../../', import.meta.url);
