import { createRandom, recordSend } from '@filbertlatch/core';
import { describe, itSerial } from '@filbertlatch/core/testing';
import FakeTimers from '@sinonjs/fake-timers';

import { now } from '../../src/clock.js';
import type { AdmittedRequest } from '../../src/gateway/admitRequest.js';
import type { Attempt } from '../../src/gateway/attempt.js';
import type { GatewayContext } from '../../src/gateway/gatewayContext.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { ServiceSilence } from '../../src/gateway/serviceSilence.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { StuckWatch } from '../../src/gateway/stuckWatch.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

const ENDPOINT_IDS = ['e1', 'e2', 'e3'];
const EVENT_GAP_MS = 50;

/** A stream at the first of three busy endpoints, and what its watch leads to. */
class WatchedStream {
  readonly outcomes: string[] = [];

  readonly #heardAt = new Map<string, number>();

  readonly #attempt = { endpoint: { id: 'e1' }, hasAnswered: true, isOver: false } as Attempt;

  readonly #watch: StuckWatch;

  constructor(loopDelay: LoopDelay) {
    const state = createGatewayState(settings, createRandom(1));
    ENDPOINT_IDS.forEach((id) => {
      const endpoint = { id, serviceId: 'desk', address: '127.0.0.1:9' };
      state.directory.endpoints.set(id, endpoint as never);
      const send = { endpointId: id, tokens: 1, predictedMs: 100, size: null };
      recordSend(state.scheduling, { ...send, kind: 'decode' }, now());
    });
    const connections = { lastHeardAt: (id: string) => this.#heardAt.get(id) ?? 0 };
    const contacts = { checkOthers: () => {}, isChecking: () => false, isLost: () => false };
    const silences = new ServiceSilence(state, connections, contacts);
    const admitted = {
      isRepeatable: true,
      job: { serviceId: 'desk' },
      route: { repetition: 'streaming', targetMs: 100, gapTargetMs: 100 },
    } as AdmittedRequest;
    const context = { loopDelay, silences, contacts } as unknown as GatewayContext;
    this.#watch = new StuckWatch(context, admitted, () => this.#decide());
  }

  /** Lets endpoints send an event each. */
  hear(ids: readonly string[]): void {
    ids.forEach((id) => this.#heardAt.set(id, now()));
    if (!ids.includes('e1')) return;
    this.#watch.recordBytes();
    this.#watch.watch(this.#attempt);
  }

  // As an exchange decides.
  #decide(): void {
    if (this.#watch.isServiceSilent(this.#attempt)) {
      this.outcomes.push('kept');
      this.#watch.watch(this.#attempt, 200);
    } else {
      this.outcomes.push(this.#watch.startAnew(this.#attempt) ? 'started anew' : 'replaced');
    }
  }
}

async function play(
  test: (
    stream: WatchedStream,
    hear: (ids: readonly string[], forMs: number) => Promise<void>,
  ) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance', 'Date'],
  });
  const loopDelay = new LoopDelay();
  loopDelay.stop();
  try {
    const stream = new WatchedStream(loopDelay);
    await test(stream, async (ids, forMs) => {
      for (let ms = 0; ms < forMs; ms += EVENT_GAP_MS) {
        stream.hear(ids);
        await clock.tickAsync(EVENT_GAP_MS);
      }
    });
  } finally {
    clock.uninstall();
  }
}

describe('a stream whose endpoint stands still', () => {
  [1200, 1700, 3500].forEach((silentMs) => {
    itSerial(`is not cut while all endpoints do: ${silentMs} ms`, (t) =>
      play(async ({ outcomes }, hear) => {
        await hear(ENDPOINT_IDS, 500);
        await hear([], silentMs);
        t.deepEqual([...new Set(outcomes)], ['kept']);
        // Another answers first.
        await hear(['e2', 'e3'], 700);
        await hear(ENDPOINT_IDS, 500);
        t.false(outcomes.includes('replaced'));
      }),
    );
  });

  itSerial('is replaced while the others answer', (t) =>
    play(async ({ outcomes }, hear) => {
      await hear(ENDPOINT_IDS, 500);
      await hear(['e2', 'e3'], 1000);
      t.deepEqual(outcomes, ['replaced']);
    }),
  );

  itSerial('is replaced when it brings nothing after the others are back', (t) =>
    play(async ({ outcomes }, hear) => {
      await hear(ENDPOINT_IDS, 500);
      await hear([], 1200);
      await hear(['e2', 'e3'], 1500);
      t.deepEqual([...new Set(outcomes)], ['kept', 'started anew', 'replaced']);
    }),
  );
});
