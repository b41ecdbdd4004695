export {
  createEngine,
  type EngineOptions,
  type EngineSwitches,
  type StandInEngine,
} from './createEngine.js';
export {
  createPlatform,
  splitTable,
  type PlatformSwitches,
  type StandInPlatform,
} from './createPlatform.js';
export {
  createService,
  type ServiceOptions,
  type ServiceSwitches,
  type StandInService,
} from './createService.js';
export { createWeightStore, type StandInWeightStore } from './createWeightStore.js';
export { createTimedLoad, EngineModels, type LoadModel } from './engineModels.js';
export { EngineQueue, type Stream } from './engineQueue.js';
export { LoadReports, type MeasuredLoad } from './loadReports.js';
export { StepClock } from './stepClock.js';
export {
  createBrokenEngine,
  engineFaults,
  type BrokenEngine,
  type EngineFault,
} from './createBrokenEngine.js';
