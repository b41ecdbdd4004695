export {
  createPauseState,
  pauseLeftMs,
  recordPause,
  removeEndedPauses,
  type PauseState,
} from './pauses.js';
