export { EndlessServer, endlessAnswers, type EndlessAnswer } from './endlessServer.js';
export { findFreeAddress } from './freeAddress.js';
export { measureMemory, playMeasured, type MemoryProbe } from './memoryProbe.js';
