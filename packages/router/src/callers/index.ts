export { createCallerApi, type CallerContext } from './callerApi.js';
export type { Exchange, Payload, ServiceAnswer } from './exchange.js';
export { Exchanges } from './exchanges.js';
export { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';
