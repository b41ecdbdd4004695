export { createFleet, keyOf, OPERATOR_TOKEN, type Fleet } from './createFleet.js';
export { formatSummary } from './formatSummary.js';
export { generateLoad, type Balance } from './generateLoad.js';
export { loadScenario } from './loadScenario.js';
export { scenarioSchema, type Load, type Scenario } from './scenario.js';
export { sendRequest, type Draw, type Sample } from './sendRequest.js';
export { summarize, type ClassFigures, type Summary } from './summarize.js';
