/* eslint-disable import-x/no-relative-packages -- the project's stand-ins are no package */
export { sendAttempt } from '../../platform/soak/standins/client.js';
export { Fleet } from '../../platform/soak/standins/gateways.js';
export { listenOnLastingPort } from '../../platform/soak/standins/ports.js';
export { Store } from '../../platform/soak/standins/store.js';
