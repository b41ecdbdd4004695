import { describe, it } from '@filbertlatch/core/testing';

import { createFleet, apiKeyOf } from '../src/index.js';
import { loadUnhurriedScenario } from './unhurriedScenario.js';

const DRAIN_GRACE_SECONDS = 3;

describe('a draining router', () => {
  describe('in its grace period', () => {
    it('is at once not ready, and still answers new requests', async (t) => {
      const scenario = { ...(await loadUnhurriedScenario()), routers: 2 };
      const fleet = await createFleet(scenario, 1, 'filbertlatch', DRAIN_GRACE_SECONDS);
      t.teardown(() => fleet.stop());
      const router = fleet.routers[0]!;
      const drained = router.drain();
      t.is((await fetch(`${router.callerUrl}/ready`)).status, 503);
      const answer = await fetch(`${router.callerUrl}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${apiKeyOf('dealer-giza')}`,
          'content-type': 'application/json',
          'filbertlatch-class': 'summary',
        },
        body: JSON.stringify({
          model: 'desk',
          messages: [{ role: 'user', content: 'A line.' }],
          standin: { tokens: 1 },
        }),
      });
      t.is(answer.status, 200);
      await answer.text();
      await drained;
    });
  });
});
