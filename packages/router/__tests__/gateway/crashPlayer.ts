import { playCrashScenario } from './crashFleet.js';
import { playHere } from './scenarioProcess.js';

playHere(playCrashScenario);
