import { totalmem } from 'node:os';

import { describe, it } from '@filbertlatch/core/testing';

import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { defaultLimitBytes, MIN_LIMIT_BYTES } from '../../src/memory/index.js';

const MEGABYTE = 1e6;

const settings = {
  vm: { id: 'vm-a', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:9' },
  graceSeconds: 1,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
};

describe('the limit of what is held for others', () => {
  it('follows from the heap, the rest of the memory, and no more than a quarter of a gigabyte', (t) => {
    t.is(defaultLimitBytes(70 * MEGABYTE, 32_000 * MEGABYTE), 52.5 * MEGABYTE);
    t.is(defaultLimitBytes(70 * MEGABYTE, 200 * MEGABYTE), Math.floor((130 * MEGABYTE) / 3));
    t.is(defaultLimitBytes(4000 * MEGABYTE, 32_000 * MEGABYTE), 268_435_456);
    t.is(defaultLimitBytes(70 * MEGABYTE, 60 * MEGABYTE), MIN_LIMIT_BYTES);
  });

  it('may be set, within what the machine has and what one body needs', (t) => {
    const parse = (memoryLimitBytes: number) =>
      parseGatewaySettings({ ...settings, memoryLimitBytes });
    t.is(parse(50 * MEGABYTE).memoryLimitBytes, 50 * MEGABYTE);
    t.is(parseGatewaySettings(settings).memoryLimitBytes, undefined);
    t.throws(() => parse(totalmem() + 1), { message: /memoryLimitBytes.*memory of the machine/ });
    t.throws(() => parse(4 * MEGABYTE), { message: /memoryLimitBytes.*one request body of 4 MB/ });
  });
});
