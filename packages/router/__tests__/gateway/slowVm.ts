import { parentPort, workerData } from 'node:worker_threads';

import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

import type { Dialect } from '../../src/gateway/index.js';
import { createSource, startGateway, testDialect } from './fixtures.js';

/** What the thread of a slow VM is given. */
export interface SlowVmData {
  readonly configuration: Configuration;
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Processor time of each request that is sent to an endpoint, in milliseconds. */
  readonly sendMs: number;
}

/** Addresses that the thread tells once its gateway listens. */
export interface SlowVmAddresses {
  readonly callers: string;
  readonly ready: string;
}

function occupyProcessor(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

const { configuration, endpoints, sendMs } = workerData as SlowVmData;

const dialect: Dialect = {
  ...testDialect,
  formatRequest: (headers, forwarded) => {
    occupyProcessor(sendMs);
    return testDialect.formatRequest(headers, forwarded);
  },
};

const { callers, ready } = await startGateway(createSource(configuration, endpoints), dialect);
const addresses: SlowVmAddresses = { callers, ready };
parentPort!.postMessage(addresses);
