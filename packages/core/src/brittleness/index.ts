export {
  addWaiter,
  holdEndpointSlot,
  recordBrittle,
  recordRun,
  recordSound,
  recordTurnedAway,
  releaseEndpointSlot,
  removeEndedBrittleness,
  removeWaiter,
  setSharingVms,
  takeWaiter,
} from './commands.js';
export {
  countOwnSlots,
  hasOwnSlot,
  hasTurnedAwayLately,
  isBrittle,
  listBrittle,
  meanRunMs,
  predictWaitMs,
  type BrittleReport,
} from './queries.js';
export {
  createBrittlenessState,
  type BrittleService,
  type BrittlenessState,
  type Waiter,
} from './state.js';
