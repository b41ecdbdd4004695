export { adoptConfiguration } from './commands.js';
export {
  chooseService,
  configurationVersion,
  findKeyHolder,
  findRoute,
  isRepeatable,
} from './queries.js';
export {
  createRoutingState,
  type CallerLimits,
  type Configuration,
  type EngineProfile,
  type KeyedAccount,
  type Repetition,
  type Route,
  type RoutedService,
  type RoutingState,
  type WeightedService,
} from './state.js';
