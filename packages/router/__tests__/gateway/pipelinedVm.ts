import { setTimeout as sleep } from 'node:timers/promises';

import { playMeasured, tellNews } from '../../src/testing/index.js';
import { createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';

const ANSWER_MS = 20;
const PLAY_MS = 3000;

void playMeasured(async () => {
  const sound = await startEndpoint('sound', (request, response) => {
    setTimeout(() => {
      response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
      response.end(request.headers['x-request']);
    }, ANSWER_MS);
  });
  const { callers, control, ready } = await startGateway(
    createSource(testConfiguration, [{ ...sound.endpoint, slots: 64 }]),
  );
  tellNews({ callers, control, ready });
  await sleep(PLAY_MS);
});
