import { playSegmentScenario } from './segmentFleet.js';
import { playHere } from './scenarioProcess.js';

playHere(playSegmentScenario);
