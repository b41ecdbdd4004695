import { setTimeout as sleep } from 'node:timers/promises';

import type { Table } from '@filbertlatch/core';
import { createRouter, parseSettings, type Router } from '@filbertlatch/router';
import { createPlatform } from '@filbertlatch/standins';

const READY_POLL_INTERVAL_MS = 20;
const VM = { id: 'vm-0', zone: 'zone-a', region: 'region-1' };

/** Starts one router with a stand-in platform, and waits until the table is in force. */
export async function startRouter(table: Table): Promise<Router> {
  const platform = await createPlatform();
  const router = await createRouter(
    parseSettings({
      vm: VM,
      callers: { port: 0 },
      admin: { port: 0, operatorToken: 'operator-token-of-the-bench' },
      peers: { port: 0, sharedKey: 'shared-key-of-the-bench-fleet' },
      platform: { configurationUrl: platform.url, listUrl: platform.url },
      logLevel: 'error',
      seed: 1,
    }),
  );
  const vm = { ...VM, peerUrl: router.peerUrl, state: 'live' as const };
  platform.publishList({ revision: 1, vms: [vm], leavingEndpoints: [] });
  platform.publishTable(table);
  while (router.state().table.revision < table.revision) await sleep(READY_POLL_INTERVAL_MS);
  return router;
}
