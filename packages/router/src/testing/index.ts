export { EndlessServer, endlessAnswers, type EndlessAnswer } from './endlessServer.js';
export { findFreeAddress } from './freeAddress.js';
export {
  measureMemory,
  playMeasured,
  startMeasured,
  tellNews,
  type MeasuredPlay,
  type MemoryProbe,
} from './memoryProbe.js';
