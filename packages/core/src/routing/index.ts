export { adoptConfiguration, type ConfigurationOrigin } from './commands.js';
export {
  chooseService,
  configurationVersion,
  findAccountByKey,
  findRoute,
  isRepeatable,
} from './queries.js';
export { enginePriorityOfRank, listEngineRanks, rankOfRequest } from './ranks.js';
export {
  createRoutingState,
  type CallerLimits,
  type Configuration,
  type EngineProfile,
  type ClientAccount,
  type Repetition,
  type Route,
  type RoutedService,
  type RoutingState,
  type WeightedService,
} from './state.js';
