export type { Action, ActionOf } from './action.js';
export {
  createCore,
  nextId,
  type Core,
  type CoreOptions,
  type LiveAttempt,
  type LiveRequest,
} from './core.js';
export { increment, counterNames, type CounterName } from './counters.js';
export { decide } from './decide.js';
export type { Message, MessageOf, OfferSource } from './message.js';
