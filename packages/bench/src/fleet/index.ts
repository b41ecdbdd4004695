export { fleetSlopesExperiment, tableFleetExperiment } from './fleetExperiments.js';
export { measureFleet, type FleetFigures } from './measureFleet.js';
export { rollingReplaceExperiment } from './rollingReplace.js';
export { tableEditExperiment } from './tableEdit.js';
