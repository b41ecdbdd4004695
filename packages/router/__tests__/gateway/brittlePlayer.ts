import { playBrittleScenario } from './brittleFleet.js';
import { playHere } from './scenarioProcess.js';

playHere(playBrittleScenario);
