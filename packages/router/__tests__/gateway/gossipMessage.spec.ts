import { createRandom, recordArrival, recordFirstEvent, recordSend } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { createGossipMessage, gossipMessageSchema } from '../../src/gateway/gossipMessage.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';

const ENGINES = 60;

/** Longest part of a message that tells the pace of one engine. */
const MAX_PACE_BYTES = 50;

function createState() {
  const settings = parseGatewaySettings({
    vm: { id: 'vm-1', zone: 'zone-a' },
    listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
    seeds: [],
    platform: { address: '127.0.0.1:4' },
    graceSeconds: 8,
    repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
  });
  return createGatewayState(settings, createRandom(1));
}

describe('a gossip message', () => {
  it('tells paces and demand to a thousandth, not with all digits', (t) => {
    const state = createState();
    const size = { promptTokens: 800, outputTokens: 290, segments: [{ id: 's', tokens: 800 }] };
    const job = {
      ...{ id: 'r', routeId: 'route', serviceId: 'engines', priority: 0, size, slots: 16 },
      ...{ kvTokens: 400_000, tokensPerEvent: 9, targetMs: 200, gapTargetMs: 150 },
      remainingMs: 5000,
    };
    for (let engine = 0; engine < ENGINES; engine += 1) {
      const at = 1000 + 7 * engine;
      const endpointId = `i-${String(engine).padStart(10, '0')}`;
      const planned = { endpointId, tokens: 800, predictedMs: 61, kind: 'decode' as const, size };
      recordArrival(state.scheduling, job, at);
      recordFirstEvent(state.scheduling, recordSend(state.scheduling, planned, at), at + 71);
    }
    const sender = { address: '127.0.0.1:3', hasStore: true, reads: [], limitedSends: [] };
    const message = createGossipMessage(state, sender, 1500);
    t.is(message.paces.length, ENGINES);
    t.true(JSON.stringify(message.paces).length <= ENGINES * MAX_PACE_BYTES);
    t.true(JSON.stringify(message.demand).length <= MAX_PACE_BYTES);
    t.true(message.demand[0]![2] > 0);
    t.true(gossipMessageSchema.safeParse(message).success);
  });
});
