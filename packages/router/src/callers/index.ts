export { createCallerApi, type CallerContext } from './callerApi.js';
export type { Exchange, Payload, ServiceAnswer } from './exchange.js';
export { Exchanges } from './exchanges.js';
export { JoinTask } from './joinTask.js';
export { KeyedAnswers } from './keyedAnswers.js';
export { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';
